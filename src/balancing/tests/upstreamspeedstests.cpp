#include "balancing/upstreamspeeds.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::balancing;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

/// Samples of @p ratio by each of @p hosts hosts, stated to @p speeds at @p now.
void stateSamples(UpstreamSpeeds &speeds, std::size_t hosts, double ratio, TimePoint now)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        UpstreamSpeeds other;
        other.addSample("i-1", ratio, 1, now);
        REQUIRE(speeds.apply("entry-" + std::to_string(host) + "/1", other.content(now), now));
    }
}

}

TEST_CASE("The hosts' samples together tell how slow an upstream is")
{
    UpstreamSpeeds speeds;
    SECTION("an upstream without samples is taken for an average one")
    {
        CHECK(speeds.slowness("i-1", Start) == 1);
        CHECK(speeds.content(Start).empty());
    }
    SECTION("one sample sways little, those of many hosts much")
    {
        speeds.addSample("i-1", 2, 1, Start);
        CHECK(speeds.slowness("i-1", Start) < 1.5);
        stateSamples(speeds, 20, 2, Start);
        CHECK(speeds.slowness("i-1", Start + std::chrono::milliseconds(200)) == Approx(2).epsilon(0.05));
        CHECK(speeds.slowness("i-2", Start) == 1);

        SECTION("they expire with their age")
        {
            CHECK(speeds.slowness("i-1", Start + std::chrono::seconds(6)) == 1);
        }
        SECTION("a host's next report replaces its last one, and a host that is gone counts no more")
        {
            for (std::size_t host = 0; host < 20; ++host) {
                speeds.forgetHost("entry-" + std::to_string(host) + "/1");
            }
            CHECK(speeds.slowness("i-1", Start + std::chrono::milliseconds(400)) < 1.5);
            stateSamples(speeds, 20, 1, Start);
            stateSamples(speeds, 20, 0.5, Start);
            CHECK(speeds.slowness("i-1", Start + std::chrono::milliseconds(600)) < 0.6);
        }
        SECTION("a restarted upstream begins anew, also while other hosts have not learnt of it")
        {
            const TimePoint later = Start + std::chrono::milliseconds(500);
            speeds.forgetUpstream("i-1", later);
            stateSamples(speeds, 20, 2, later);
            CHECK(speeds.slowness("i-1", later) == 1);
            const TimePoint learnt = later + std::chrono::seconds(2);
            stateSamples(speeds, 20, 0.5, learnt);
            CHECK(speeds.slowness("i-1", learnt) < 0.6);
        }
    }
    SECTION("a host that reports nonsense sways nobody")
    {
        stateSamples(speeds, 20, 1, Start);
        UpstreamSpeeds liar;
        for (int sample = 0; sample < 1'000; ++sample) {
            liar.addSample("i-1", 1'000, 10, Start);
        }
        REQUIRE(speeds.apply("liar/1", liar.content(Start), Start));
        CHECK(speeds.slowness("i-1", Start) < 1.1);
    }
    SECTION("samples that are no positive numbers are ignored")
    {
        const double ratio = GENERATE(0.0, -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN());
        speeds.addSample("i-1", ratio, 1, Start);
        CHECK(speeds.slowness("i-1", Start) == 1);
    }
    SECTION("malformed content has no effect")
    {
        stateSamples(speeds, 20, 2, Start);
        const std::string content = GENERATE(std::string(1, '\x09') + "123", std::string(1, '\x05') + "12345", std::string(1, '\0'));
        CHECK(!speeds.apply("entry-0/1", content, Start));
        CHECK(speeds.slowness("i-1", Start) > 1.8);
    }
    SECTION("entries that a later version has made longer are read")
    {
        UpstreamSpeeds other;
        other.addSample("i-1", 2, 1, Start);
        std::string content = other.content(Start);
        content[0] = static_cast<char>(content[0] + 2);
        CHECK(speeds.apply("entry-1/1", content + "ab", Start));
        CHECK(speeds.slowness("i-1", Start) > 1.2);
    }
}

TEST_CASE("What an upstream states of the moment counts for a moment")
{
    UpstreamSpeeds speeds;
    UpstreamSpeeds other;
    other.noteStated("i-1", 2.5, Start);
    REQUIRE(speeds.apply("entry-1/1", other.content(Start), Start));
    CHECK(speeds.momentarySlowness("i-1", Start) == Approx(2.5).epsilon(0.02));
    CHECK(speeds.momentarySlowness("i-1", Start + std::chrono::milliseconds(300)) == Approx(1.58).epsilon(0.05));
    CHECK(speeds.momentarySlowness("i-1", Start + std::chrono::seconds(1)) == 1);
    CHECK(speeds.slowness("i-1", Start) == 1);

    SECTION("its newest statement replaces older ones")
    {
        speeds.noteStated("i-1", 1, Start + std::chrono::milliseconds(500));
        CHECK(speeds.momentarySlowness("i-1", Start + std::chrono::milliseconds(500)) == 1);
    }
}
