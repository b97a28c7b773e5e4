#include "gateway/internal/activeconfiguration.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;
using std::chrono::milliseconds;

namespace {

routing::Configuration configuration(std::uint64_t version)
{
    routing::Configuration configuration;
    configuration.version = version;
    return configuration;
}

constexpr milliseconds Bound{3'000};
constexpr TimePoint Start{std::chrono::hours(1)};

}

TEST_CASE("A configuration is outdated when a newer one is known and it was confirmed longer ago than the bound")
{
    ActiveConfiguration active;
    active.setKnownVersion(4);
    CHECK_FALSE(active.outdated(Start, Bound)); // There is none yet.
    REQUIRE(active.accept(configuration(4), "v4"));
    active.confirm(4, Start);

    SECTION("not while no newer version is known, however long ago it was confirmed")
    {
        CHECK_FALSE(active.outdated(Start + std::chrono::hours(1), Bound));
    }
    SECTION("a newer version is known")
    {
        active.setKnownVersion(7);
        CHECK_FALSE(active.outdated(Start + Bound, Bound));
        CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));

        SECTION("a confirmation of the newer version is none of the older one that is in force")
        {
            active.confirm(7, Start + Bound);
            CHECK(active.age(Start + Bound) == Duration(Bound));
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("it is current again when no peer is heard any more that has a newer one, as after a damaged report")
        {
            active.setKnownVersion(4);
            CHECK_FALSE(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("a version between the two does not make it current")
        {
            REQUIRE(active.accept(configuration(5), "v5"));
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("the newer version does, even before it is confirmed")
        {
            REQUIRE(active.accept(configuration(7), "v7"));
            CHECK_FALSE(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
    }
}
