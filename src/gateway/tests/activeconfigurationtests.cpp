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
    active.noteVersion(4);
    CHECK_FALSE(active.outdated(Start, Bound)); // There is none yet.
    REQUIRE(active.accept(configuration(4), "v4"));
    active.confirm(4, Start);

    SECTION("not while no newer version is known, however long ago it was confirmed")
    {
        CHECK_FALSE(active.outdated(Start + std::chrono::hours(1), Bound));
    }
    SECTION("a newer version is known")
    {
        active.noteVersion(7);
        CHECK_FALSE(active.outdated(Start + Bound, Bound));
        CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));

        SECTION("an older report does not change that")
        {
            active.noteVersion(2);
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
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
