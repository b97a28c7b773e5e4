#include "limits/upstreamlimits.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

TimePoint at(int milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

}

TEST_CASE("An upstream's limit on requests holds for as long as its answers state it")
{
    int changes = 0;
    UpstreamLimits limits([&changes](const std::string &, std::optional<double>) { ++changes; });
    limits.noteAnswer("x", 2.5, at(0), at(10));
    REQUIRE(limits.perSecond("x") == 2.5);
    REQUIRE(!limits.perSecond("y"));

    SECTION("the last statement replaces the one before")
    {
        limits.noteAnswer("x", 1.0, at(20), at(30));
        CHECK(limits.perSecond("x") == 1.0);
        CHECK(changes == 2);
    }
    SECTION("repeating it is no change")
    {
        limits.noteAnswer("x", 2.5, at(20), at(30));
        CHECK(changes == 1);
    }
    SECTION("an answer without it lifts the limit")
    {
        limits.noteAnswer("x", std::nullopt, at(20), at(30));
        CHECK(!limits.perSecond("x"));
        CHECK(changes == 2);
    }
    SECTION("an answer without it to a request that was sent before the limit was stated does not lift the limit")
    {
        limits.noteAnswer("x", std::nullopt, at(5), at(30));
        CHECK(limits.perSecond("x") == 2.5);
    }
}
