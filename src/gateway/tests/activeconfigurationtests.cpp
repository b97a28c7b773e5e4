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
    active.noteKnown(4, Start);
    CHECK_FALSE(active.outdated(Start, Bound)); // There is none yet.
    REQUIRE(active.accept(configuration(4), {}));
    active.confirm(4, Start);

    SECTION("not while no newer version is known, however long ago it was confirmed")
    {
        CHECK_FALSE(active.outdated(Start + std::chrono::hours(1), Bound));
    }
    SECTION("a newer version is known")
    {
        active.noteKnown(7, Start);
        CHECK_FALSE(active.outdated(Start + Bound, Bound));
        CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));

        SECTION("a confirmation of the newer version is none of the older one that is in force")
        {
            active.confirm(7, Start + Bound);
            CHECK(active.age(Start + Bound) == Duration(Bound));
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("a confirmation by another host, or a read that began before the newer version was known, does not make it current")
        {
            active.confirm(4, Start + Bound);
            active.confirmByLog(4, Start);
            CHECK(active.knownVersion() == 7);
            CHECK(active.outdated(Start + 2 * Bound + milliseconds(1), Bound));
        }
        SECTION("it is current again when a read of the log that began later shows no newer one, as after a damaged report")
        {
            active.confirmByLog(4, Start + milliseconds(1));
            CHECK(active.knownVersion() == 4);
            CHECK_FALSE(active.outdated(Start + 2 * Bound, Bound));
        }
        SECTION("peers that have an older one don't make it current")
        {
            active.noteKnown(4, Start + Bound);
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("it is current again when nobody can get the newer one, in an outage of the log")
        {
            active.forgetKnown();
            CHECK_FALSE(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("a version between the two does not make it current")
        {
            REQUIRE(active.accept(configuration(5), {}));
            CHECK(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
        SECTION("the newer version does, even before it is confirmed")
        {
            REQUIRE(active.accept(configuration(7), {}));
            CHECK_FALSE(active.outdated(Start + Bound + milliseconds(1), Bound));
        }
    }
}
