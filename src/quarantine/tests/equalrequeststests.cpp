#include "quarantine/crashquarantine.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::quarantine;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1'000)};
constexpr std::uint64_t Deadly = 0xdead;
constexpr std::uint64_t Equal = 0xe0;

/// A request for a plain service, which has no prompt.
RequestTraits lookup(std::uint64_t fingerprint)
{
    return {"dispatch", fingerprint, {}};
}

/// A host before the upstreams of a plain service.
struct Host {
    explicit Host(std::vector<std::string> others = {})
    {
        quarantine.setHosts("a", std::move(others));
    }

    void breakRequest(std::uint64_t fingerprint, const std::string &instance, TimePoint now)
    {
        quarantine.noteBroken(lookup(fingerprint), instance, now - milliseconds(15), now);
    }

    [[nodiscard]] bool blocks(std::uint64_t fingerprint, TimePoint now)
    {
        return quarantine.admit(lookup(fingerprint), now).has_value();
    }

    CrashQuarantine quarantine{[](SuspectId, SuspectChange, std::size_t) {}};
};

/// All three upstreams of the service crash under the deadly request within half a second, and each crash breaks another request as well.
void crashAllUpstreams(Host &host)
{
    for (int crash = 0; crash < 3; ++crash) {
        const TimePoint now = Start + milliseconds(200) * crash;
        const std::string instance = "i-" + std::to_string(crash);
        host.breakRequest(Deadly, instance, now);
        host.breakRequest(0x100U + static_cast<std::uint64_t>(crash), instance, now + milliseconds(3));
    }
}

}

// Guards against a repeated plain request that crashes all upstreams of its service: hardly any other request is answered then.
TEST_CASE("Equal requests that were in progress at all crashes of a service are quarantined while no upstream is left to answer others")
{
    Host host;
    crashAllUpstreams(host);
    CHECK(!host.blocks(Deadly, Start + milliseconds(500)));
    const TimePoint now = Start + milliseconds(1'300);
    host.quarantine.update(now);
    REQUIRE(host.quarantine.quarantined(SuspectKind::Request) == 1);
    const std::optional<Rejection> rejection = host.quarantine.admit(lookup(Deadly), now);
    REQUIRE(rejection);
    CHECK(rejection->kind == SuspectKind::Request);
    CHECK(rejection->wait > seconds(20));
    CHECK(!host.blocks(0x100U, now));

    SECTION("it is tried again after a hold that doubles with each failed trial")
    {
        CHECK(host.blocks(Deadly, Start + seconds(29)));
        const TimePoint first = Start + seconds(31);
        CHECK(!host.blocks(Deadly, first));
        CHECK(host.blocks(Deadly, first + seconds(1)));
        host.breakRequest(Deadly, "i-7", first + seconds(2));
        CHECK(host.blocks(Deadly, first + seconds(61)));
        CHECK(!host.blocks(Deadly, first + seconds(63)));
    }
    SECTION("a complete answer releases it")
    {
        host.quarantine.noteCompleted(lookup(Deadly), now + seconds(1));
        CHECK(!host.blocks(Deadly, now + seconds(1)));
    }
    SECTION("a host that has just started learns of it, and of the service that crashed")
    {
        Host restarted;
        restarted.quarantine.apply(host.quarantine.reports(now), now + milliseconds(5));
        CHECK(restarted.blocks(Deadly, now + milliseconds(10)));
    }
    SECTION("a request that happened to be in progress at all of them, too, is told apart by being tried at once")
    {
        Host both;
        crashAllUpstreams(both);
        for (int crash = 0; crash < 3; ++crash) {
            both.breakRequest(Equal, "i-" + std::to_string(crash), Start + milliseconds(200) * crash);
        }
        both.quarantine.update(now);
        REQUIRE(both.quarantine.quarantined(SuspectKind::Request) == 2);
        CHECK(!both.blocks(Equal, now));
        both.quarantine.noteCompleted(lookup(Equal), now + milliseconds(20));
        CHECK(!both.blocks(Equal, now + milliseconds(30)));
        CHECK(both.blocks(Deadly, now + milliseconds(30)));
    }
}

// Guards against refusing a sound request that is repeated while upstreams crash for other reasons.
TEST_CASE("Equal requests are not quarantined for crashes that have another cause")
{
    Host host;
    SECTION("when one of them is answered between the crashes")
    {
        for (int crash = 0; crash < 6; ++crash) {
            const TimePoint now = Start + seconds(crash);
            host.breakRequest(Equal, "i-" + std::to_string(crash), now);
            host.quarantine.noteCompleted(lookup(Equal), now + milliseconds(300));
        }
        host.quarantine.update(Start + seconds(8));
        CHECK(!host.blocks(Equal, Start + seconds(8)));
    }
    SECTION("when another host answers one of them")
    {
        for (int crash = 0; crash < 3; ++crash) {
            host.breakRequest(Equal, "i-" + std::to_string(crash), Start + milliseconds(100) * crash);
        }
        host.quarantine.apply(std::vector<SuspectReport>{{{SuspectKind::Request, Equal}, "dispatch", {}, false, 50}}, Start + milliseconds(800));
        host.quarantine.update(Start + seconds(2));
        CHECK(!host.blocks(Equal, Start + seconds(2)));
    }
    SECTION("when many upstreams crash at once, and they were in progress at some of them")
    {
        for (int crash = 0; crash < 8; ++crash) {
            host.breakRequest(0x100U + static_cast<std::uint64_t>(crash), "i-" + std::to_string(crash), Start);
        }
        for (int crash = 0; crash < 3; ++crash) {
            host.breakRequest(Equal, "i-" + std::to_string(crash), Start);
        }
        host.quarantine.update(Start + seconds(2));
        CHECK(!host.blocks(Equal, Start + seconds(2)));
    }
    SECTION("when they take long, so that they meet more crashes than others, at upstreams that also crash without them")
    {
        for (int crash = 0; crash < 12; ++crash) {
            const TimePoint now = Start + seconds(crash);
            for (std::uint64_t number = 0; number < 20; ++number) {
                host.quarantine.noteCompleted(lookup(0x1'000U + number), now - milliseconds(500));
            }
            host.breakRequest(crash % 3 == 0 ? Equal : 0x100U + static_cast<std::uint64_t>(crash), "i-" + std::to_string(crash), now);
        }
        host.quarantine.update(Start + seconds(13));
        CHECK(!host.blocks(Equal, Start + seconds(13)));
    }
    SECTION("when they are sent often while upstreams crash at random")
    {
        const std::uint32_t seed = GENERATE(range(1U, 30U));
        CAPTURE(seed);
        std::mt19937 random(seed);
        int refused = 0;
        // One upstream of three crashes every 400 ms on average; the equal request runs for 15 ms, five times a second, and others 30 times.
        for (int step = 0; step < 4'000; ++step) {
            const TimePoint now = Start + milliseconds(15) * step;
            const bool crash = random() % 27 == 0;
            const std::string instance = "i-" + std::to_string(step);
            if (step % 13 == 0) {
                refused += host.blocks(Equal, now) ? 1 : 0;
                if (crash && random() % 3 == 0) {
                    host.breakRequest(Equal, instance, now);
                } else {
                    host.quarantine.noteCompleted(lookup(Equal), now);
                }
            }
            if (crash && random() % 2 == 0) {
                host.breakRequest(0x1'000U + static_cast<std::uint64_t>(step), instance, now);
            }
            if (step % 27 == 0) {
                host.quarantine.update(now);
            }
        }
        CHECK(refused == 0);
    }
}
