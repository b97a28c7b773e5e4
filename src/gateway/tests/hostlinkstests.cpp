#include "gateway/internal/hostlinks.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;

TEST_CASE("Hosts tell each other what their links carry")
{
    HostLinks strong(200);
    HostLinks other(0);
    REQUIRE(other.apply("entry-1/a", strong.content(TimePoint()), TimePoint()));
    CHECK(other.of("entry-1/a") == 200);

    SECTION("a host that doesn't know its link, or is of an earlier software version, tells nothing")
    {
        CHECK(other.content(TimePoint()).empty());
        CHECK(other.own() == 0);
        CHECK(other.of("entry-2/a") == 0);
    }
    SECTION("what is malformed has no effect")
    {
        CHECK_FALSE(other.apply("entry-1/a", GENERATE("", "-1", "fast", "20 "), TimePoint()));
        CHECK(other.of("entry-1/a") == 200);
    }
    SECTION("a process that is gone is forgotten")
    {
        other.forget("entry-1/a");
        other.forget("entry-2/a");
        CHECK(other.of("entry-1/a") == 0);
    }
}
