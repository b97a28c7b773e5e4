#include "duties/tests/leasehosts.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::duties;
using namespace rosemaryshift::duties::testing;

TEST_CASE("The first host acquires the duties, and another host takes over when it is gone")
{
    FakeLog log;
    DutyLease first("entry-1", "a", Lease);
    DutyLease second("entry-2", "a", Lease);
    step(first, log, Start);
    step(second, log, Start);
    REQUIRE(first.holds(Start));
    REQUIRE(!second.holds(Start));
    const std::uint64_t fence = first.fence();

    SECTION("while the holder renews the lease, no other host acquires the duties")
    {
        for (int tick = 0; tick < 100; ++tick) {
            const TimePoint now = Start + std::chrono::milliseconds(300) * tick;
            step(first, log, now);
            step(second, log, now);
            CHECK(first.holds(now));
            CHECK(!second.holds(now));
        }
        CHECK(first.fence() == fence);
    }
    SECTION("a holder that stops renewing no longer holds the duties when another host acquires them with a higher fencing token")
    {
        TimePoint now = Start;
        while (!second.holds(now)) {
            now += std::chrono::milliseconds(100);
            step(second, log, now);
        }
        CHECK(!first.holds(Start + Lease));
        CHECK(now - Start > Lease);
        CHECK(now - Start < 2 * Lease);
        CHECK(second.fence() > fence);

        SECTION("the previous holder does not hold the duties when it runs again")
        {
            step(first, log, now);
            CHECK(!first.holds(now));
            step(first, log, now);
            CHECK(!first.holds(now));
        }
    }
    SECTION("after a release, another host acquires the duties at its next read with a higher fencing token, and the previous holder holds them no longer")
    {
        const std::optional<DutyRecord> last = first.release(Start);
        REQUIRE(last);
        REQUIRE(log.append(*last, first.end()));
        first.noteAppended(*last, Start, std::nullopt);
        CHECK(!first.holds(Start));
        const TimePoint next = Start + std::chrono::milliseconds(1'300);
        step(second, log, next);
        CHECK(second.holds(next));
        CHECK(second.fence() > fence);
        CHECK(!second.release(next + Lease));
    }
    SECTION("a restarted holder acquires the duties at once with a higher fencing token")
    {
        DutyLease restarted("entry-1", "b", Lease);
        step(restarted, log, Start + std::chrono::milliseconds(500));
        CHECK(restarted.holds(Start + std::chrono::milliseconds(500)));
        CHECK(restarted.fence() > fence);
    }
    SECTION("the next holder keeps the usage counts that the previous holder made final")
    {
        const ports::UsageReport report{7, {{"yard", 5}}};
        const std::optional<DutyRecord> next = first.proposal(Start, {report}, 7);
        REQUIRE(next);
        REQUIRE(log.append(*next, first.end()));
        first.noteAppended(*next, Start, std::nullopt);
        TimePoint now = Start;
        while (!second.holds(now)) {
            now += std::chrono::milliseconds(100);
            step(second, log, now);
        }
        CHECK(second.record()->decided == std::vector<ports::UsageReport>{report});
    }
}

TEST_CASE("Two hosts never hold the duties at the same time, even when hosts freeze and append responses are lost")
{
    const std::uint64_t seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    FakeLog log;
    std::vector<DutyLease> hosts;
    for (const char *const name : {"entry-1", "entry-2", "entry-3"}) {
        hosts.emplace_back(name, "a", Lease);
    }
    std::vector<TimePoint> awake(hosts.size(), Start);
    std::vector<std::pair<std::size_t, TimePoint>> acts;
    std::uint64_t highestFence = 0;
    for (int tick = 0; tick < 600; ++tick) {
        const TimePoint now = Start + std::chrono::milliseconds(100) * tick;
        int holders = 0;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            DutyLease &lease = hosts[host];
            if (now >= awake[host]) {
                if (random() % 50 == 0) {
                    awake[host] = now + std::chrono::milliseconds(random() % 8'000);
                } else if (random() % 10 == 0 && !lease.needsRead(now, false)) {
                    // The append succeeds, but its response is lost.
                    const std::optional<DutyRecord> next = lease.proposal(now, {}, 0);
                    if (next) {
                        log.append(*next, lease.end());
                        lease.requireRead();
                    }
                } else {
                    step(lease, log, now);
                }
            }
            if (lease.holds(now)) {
                ++holders;
                CHECK(lease.fence() >= highestFence);
                highestFence = std::max(highestFence, lease.fence());
                acts.emplace_back(host, now);
            }
        }
        CHECK(holders <= 1);
    }
    SECTION("the duties do not return to a host within one lease duration after another host held them")
    {
        for (std::size_t act = 0; act < acts.size(); ++act) {
            bool other = false;
            for (std::size_t later = act + 1; later < acts.size() && acts[later].second - acts[act].second < Lease; ++later) {
                other = other || acts[later].first != acts[act].first;
                CHECK(!(other && acts[later].first == acts[act].first));
            }
        }
    }
}

TEST_CASE("A duty record is unchanged after encoding and decoding, and malformed text is rejected")
{
    DutyRecord record{"entry-1", "a", 7, 3, {{12, {{"yard", 5}, {"office", 0}}}}};
    std::string reason;
    CHECK(decodedDutyRecord(encoded(record), reason) == record);
    record.era = 0;
    record.firstWindow = 13;
    record.recentHolders = {"entry-2", "entry-3"};
    CHECK(decodedDutyRecord(encoded(record), reason) == record);
    CHECK(!decodedDutyRecord("{}", reason));
    CHECK(!decodedDutyRecord("no JSON", reason));
    CHECK(!decodedDutyRecord(R"({"holder":"a","start":"b","fence":-1,"renewal":1,"decided":[]})", reason));
    CHECK(!decodedDutyRecord(R"({"holder":"a","start":"b","fence":1,"renewal":1,"decided":[7]})", reason));
    CHECK(!decodedDutyRecord(R"({"holder":"a","start":"b","fence":1,"renewal":1,"decided":[],"recent_holders":[7]})", reason));
}
