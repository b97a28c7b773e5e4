#include "duties/tests/leasehosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::duties;
using namespace rosemaryshift::duties::testing;

// Guards against two holders that act in the order A, B, A within one lease duration, as in a restart of all hosts one after the other.
TEST_CASE("A lease that was released does not return to a host within one lease duration after another one acted")
{
    FakeLog log;
    DutyLease first("entry-1", "a", Lease);
    DutyLease second("entry-2", "a", Lease);
    step(first, log, Start);
    const TimePoint firstActed = Start + std::chrono::milliseconds(100);
    REQUIRE(first.holds(firstActed));
    release(first, log, firstActed);
    TimePoint now = firstActed + std::chrono::milliseconds(100);
    step(second, log, now);
    REQUIRE(second.holds(now));
    DutyLease restarted("entry-1", "b", Lease);

    SECTION("to the first host, when the second one releases it soon")
    {
        now += std::chrono::milliseconds(400);
        release(second, log, now);
        const TimePoint held = stepUntilHeld(restarted, log, now);
        CHECK(held - firstActed > Lease);
        CHECK(held - now < 2 * Lease);
    }
    SECTION("a third host claims it at once")
    {
        now += std::chrono::milliseconds(400);
        release(second, log, now);
        DutyLease third("entry-3", "a", Lease);
        step(third, log, now);
        CHECK(third.holds(now));

        SECTION("and the first host does not when that one releases it")
        {
            now += std::chrono::milliseconds(400);
            release(third, log, now);
            CHECK(stepUntilHeld(restarted, log, now) - firstActed > Lease);
        }
    }
    SECTION("the second host claims it again at once, since no other one has acted")
    {
        release(second, log, now);
        DutyLease secondRestarted("entry-2", "b", Lease);
        step(secondRestarted, log, now);
        CHECK(secondRestarted.holds(now));

        SECTION("after which the first host still waits")
        {
            release(secondRestarted, log, now);
            CHECK(stepUntilHeld(restarted, log, now) - firstActed > Lease);
        }
    }
    SECTION("the first host claims it at once when the second one has held it for longer than a lease duration")
    {
        for (int tick = 0; tick < 40; ++tick) {
            now += std::chrono::milliseconds(100);
            step(second, log, now);
        }
        release(second, log, now);
        step(restarted, log, now);
        CHECK(restarted.holds(now));
    }
    SECTION("to a host whose lease counted as abandoned")
    {
        const TimePoint secondActed = now + std::chrono::milliseconds(1'700);
        REQUIRE(second.holds(secondActed));
        DutyLease third("entry-3", "a", Lease);
        now = stepUntilHeld(third, log, now);
        release(third, log, now);
        DutyLease secondRestarted("entry-2", "b", Lease);
        CHECK(stepUntilHeld(secondRestarted, log, now) - secondActed > Lease);
    }
}

TEST_CASE("The duties never return to a host within one lease duration after another one acted, while hosts freeze, release the lease and start again")
{
    const std::uint64_t seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    FakeLog log;
    const std::vector<std::string> names{"entry-1", "entry-2", "entry-3", "entry-4"};
    std::vector<std::optional<DutyLease>> hosts(names.size());
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        hosts[index].emplace(names[index], "a", Lease);
    }
    std::vector<TimePoint> awake(hosts.size(), Start);
    std::vector<TimePoint> lastActed(hosts.size(), Start - Lease);
    int holdings = 0;
    std::size_t lastHolder = names.size();
    for (int tick = 0; tick < 2'400; ++tick) {
        const TimePoint now = Start + std::chrono::milliseconds(50) * tick;
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            DutyLease &lease = *hosts[index];
            if (now >= awake[index]) {
                const std::uint64_t event = random() % 100;
                if (event == 0) {
                    awake[index] = now + std::chrono::milliseconds(random() % 8'000);
                } else if (event == 1 || (event < 12 && lease.holds(now))) {
                    release(lease, log, now);
                    hosts[index].emplace(names[index], std::to_string(tick), Lease);
                    awake[index] = now + std::chrono::milliseconds(random() % 300);
                } else {
                    step(lease, log, now);
                }
            }
            if (!lease.holds(now)) {
                continue;
            }
            holdings += lastHolder != index ? 1 : 0;
            const bool otherActedSince = std::ranges::any_of(lastActed, [&](TimePoint acted) { return acted > lastActed[index]; });
            CHECK((!otherActedSince || now - lastActed[index] >= Lease));
            lastActed[index] = now;
            lastHolder = index;
        }
    }
    CHECK(holdings > 5);
}

// Guards against a host that still acts while the next holder does, since it doesn't know that its release was written.
TEST_CASE("A host that has begun to release the lease does not act, though the answer to the append is lost")
{
    FakeLog log;
    DutyLease lease("entry-1", "a", Lease);
    step(lease, log, Start);
    const std::optional<DutyRecord> next = lease.release(Start);
    REQUIRE(next);

    SECTION("when the record was appended")
    {
        REQUIRE(log.append(*next, lease.end()));
        lease.requireRead();
        CHECK(!lease.holds(Start));
        const std::optional<DutyRecord> again = lease.release(Start);
        REQUIRE(again);
        CHECK(!log.append(*again, lease.end()));
    }
    SECTION("when it was not, until a later append succeeds")
    {
        lease.requireRead();
        CHECK(!lease.holds(Start));
        release(lease, log, Start);
        CHECK(log.record->holder.empty());
    }
}
