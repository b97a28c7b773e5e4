#include "duties/tests/leasehosts.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::duties;
using namespace rosemaryshift::duties::testing;

// Guards against a fencing token that is lower than an earlier one, or that two hosts send, after the log went on from a copy that lacks a claim (review/1).
TEST_CASE("After the log was restored from a copy, the duties are claimed anew with a higher fencing token than any before")
{
    FakeLog log;
    log.end = {0, GENERATE(0, 1, 9)};
    const FakeLog empty = log;
    DutyLease first("entry-1", "a", Lease);
    DutyLease second("entry-2", "a", Lease);
    TimePoint now = stepUntilHeld(first, log, Start);
    const std::uint64_t firstFence = first.fence();
    const FakeLog copy = log;

    SECTION("the holder, when the log has lost its last renewals")
    {
        now += std::chrono::milliseconds(800);
        step(first, log, now);
        REQUIRE(log.end.offset == copy.end.offset + 1);
        log.restore(copy);
        first.requireRead();
        step(first, log, now);

        SECTION("goes on at once with a higher token")
        {
            CHECK(first.holds(now));
            CHECK(first.fence() > firstFence);
            CHECK(log.record->era == log.end.era);
        }
        SECTION("and again after a second restore")
        {
            const std::uint64_t fence = first.fence();
            log.restore(empty);
            first.requireRead();
            step(first, log, now);
            CHECK(first.holds(now));
            CHECK(first.fence() > fence);
        }
    }
    SECTION("the holder that does not know of the restore, though the log ends at the same offset")
    {
        log.restore(copy);
        now += std::chrono::milliseconds(800);
        step(first, log, now); // The log accepts this renewal, in its new era.
        CHECK(log.end.offset == copy.end.offset + 1);
        step(first, log, now);
        CHECK(first.holds(now));
        CHECK(first.fence() > firstFence);
        CHECK(log.record->era == log.end.era);
    }
    SECTION("a host whose claim is lost")
    {
        const std::optional<DutyRecord> released = first.release(now);
        REQUIRE(released);
        REQUIRE(log.append(*released, first.end()));
        const TimePoint claimed = stepUntilHeld(second, log, now);
        const std::uint64_t secondFence = second.fence();
        REQUIRE(secondFence > firstFence);
        const bool toBeforeFirstClaim = GENERATE(false, true);
        log.restore(toBeforeFirstClaim ? empty : copy);

        SECTION("goes on at once, though the log names the earlier holder or none")
        {
            second.requireRead();
            step(second, log, claimed);
            CHECK(second.holds(claimed));
            CHECK(second.fence() > secondFence);
        }
        SECTION("another host, which has just started and has no peer to ask, claims the duties when the lost holder cannot act any more")
        {
            DutyLease restarted("entry-1", "b", Lease);
            step(restarted, log, claimed);
            CHECK(!restarted.holds(claimed));
            const TimePoint taken = stepUntilHeld(restarted, log, claimed);
            CHECK(!second.holds(taken));
            CHECK(taken - claimed >= Lease);
            CHECK(taken - claimed < 2 * Lease);
            CHECK(restarted.fence() > secondFence);

            SECTION("and the lost holder does not take them back when it sees the restored log")
            {
                second.requireRead();
                step(second, log, taken);
                CHECK(!second.holds(taken));
            }
        }
    }
    SECTION("a claim that was computed from the log before and is accepted by the restored one gives no lease")
    {
        second.observe(log.record, log.end, now);
        now += 2 * Lease;
        const std::optional<DutyRecord> late = second.proposal(now, {}, 0);
        REQUIRE(late);
        log.restore(copy);
        REQUIRE(log.append(*late, second.end()));
        second.noteAppended(*late, now, log.end.era);
        CHECK(!second.holds(now));
        const TimePoint taken = stepUntilHeld(second, log, now);
        CHECK(second.fence() > late->fence);
        CHECK(taken - now >= Lease);
    }
}

// Guards against a usage window that is reported twice with different counts, after the log lost the record that it was decided (review/5).
TEST_CASE("After the log was restored, only the host that decided usage windows goes on with them")
{
    constexpr std::uint64_t CurrentWindow = 9;
    const ports::UsageReport report{7, {{"yard", 5}}};
    FakeLog log;
    log.end.era = 1;
    DutyLease first("entry-1", "a", Lease);
    const TimePoint now = stepUntilHeld(first, log, Start);
    const std::uint64_t firstWindow = first.record()->firstWindow;
    const FakeLog copy = log;
    const std::optional<DutyRecord> decided = first.proposal(now, {report}, CurrentWindow);
    REQUIRE(decided);
    REQUIRE(log.append(*decided, first.end()));
    first.noteAppended(*decided, now, log.end.era);
    log.restore(copy);

    SECTION("the holder that goes on keeps what it decided")
    {
        first.observe(log.record, log.end, now);
        const std::optional<DutyRecord> claim = first.proposal(now, {}, CurrentWindow);
        REQUIRE(claim);
        CHECK(claim->decided == std::vector<ports::UsageReport>{report});
        CHECK(claim->firstWindow == firstWindow);
    }
    SECTION("another host leaves out what may have been decided, up to the window in progress")
    {
        DutyLease second("entry-2", "a", Lease);
        second.observe(log.record, log.end, now);
        const std::optional<DutyRecord> claim = second.proposal(now + 2 * Lease, {}, CurrentWindow);
        REQUIRE(claim);
        CHECK(claim->decided.empty());
        CHECK(claim->firstWindow == CurrentWindow + 1);

        SECTION("and so do the holders after it in the same era")
        {
            REQUIRE(log.append(*claim, second.end()));
            DutyLease third("entry-3", "a", Lease);
            third.observe(log.record, log.end, now + 2 * Lease);
            const std::optional<DutyRecord> next = third.proposal(now + 4 * Lease, {}, CurrentWindow + 2);
            REQUIRE(next);
            CHECK(next->firstWindow == CurrentWindow + 1);
        }
    }
    SECTION("counts that the copy holds are not reported again by another host, as a late record of the era before may have replaced others")
    {
        FakeLog withCounts = copy;
        withCounts.record = decided;
        log.restore(withCounts);
        DutyLease second("entry-2", "a", Lease);
        second.observe(log.record, log.end, now);
        const std::optional<DutyRecord> claim = second.proposal(now + 2 * Lease, {}, CurrentWindow);
        REQUIRE(claim);
        CHECK(claim->decided.empty());
    }
}

TEST_CASE("A log without a record that states its era")
{
    FakeLog log;
    log.end.era = 4;

    SECTION("is claimed at once when the whole system starts for the first time")
    {
        DutyLease lease("entry-1", "a", Lease, true);
        step(lease, log, Start);
        CHECK(lease.holds(Start));
    }
    SECTION("is claimed at any other start only after a holder whose claim is lost could not act any more")
    {
        DutyLease lease("entry-1", "a", Lease);
        step(lease, log, Start);
        CHECK(stepUntilHeld(lease, log, Start) - Start >= Lease);
    }
}

TEST_CASE("Where the log was never restored, hosts of earlier software versions claim higher fencing tokens than this one")
{
    FakeLog log;
    log.end = {40, 1};
    log.record = DutyRecord{"entry-1", "a", 12, 3, {}}; // As an earlier version writes it, without an era.
    DutyLease lease("entry-2", "a", Lease);
    step(lease, log, Start);
    const TimePoint now = stepUntilHeld(lease, log, Start + Lease);
    const std::uint64_t fenceOfEarlierVersion = log.end.offset + 1;
    CHECK(lease.fence() > 12);
    CHECK(lease.fence() < fenceOfEarlierVersion);

    SECTION("which this one exceeds in turn")
    {
        log.record = DutyRecord{"entry-1", "b", fenceOfEarlierVersion, 0, {}};
        ++log.end.offset;
        DutyLease next("entry-3", "a", Lease);
        step(next, log, now);
        stepUntilHeld(next, log, now + Lease);
        CHECK(next.fence() > fenceOfEarlierVersion);
    }
}

TEST_CASE("Two hosts never hold the duties at the same time, and tokens only rise, while the log is restored again and again")
{
    const std::uint64_t seed = GENERATE(range(1, 61));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    FakeLog log;
    log.end.era = 1;
    std::vector<FakeLog> copies{log};
    std::vector<std::unique_ptr<DutyLease>> hosts;
    std::vector<ports::LogEra> known(3, log.end.era);
    for (const char *const name : {"entry-1", "entry-2", "entry-3"}) {
        hosts.push_back(std::make_unique<DutyLease>(name, "0", Lease));
    }
    std::uint64_t highestFence = 0;
    std::string lastHolder;
    int starts = 0;
    for (int tick = 0; tick < 900; ++tick) {
        const TimePoint now = Start + std::chrono::milliseconds(100) * tick;
        copies.push_back(log);
        if (random() % 60 == 0) {
            constexpr std::size_t MaxCopyAge = 50;
            log.restore(copies[copies.size() - 1 - random() % std::min(copies.size(), MaxCopyAge)]);
        }
        int holders = 0;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            const std::string name = "entry-" + std::to_string(host + 1);
            if (random() % 150 == 0) {
                hosts[host] = std::make_unique<DutyLease>(name, std::to_string(++starts), Lease);
                known[host].reset();
            }
            DutyLease &lease = *hosts[host];
            if (random() % 3 == 0) { // The host learns of the era by another call.
                known[host] = log.end.era;
            }
            if (known[host] > lease.end().era) {
                lease.requireRead();
            }
            step(lease, log, now);
            if (lease.holds(now)) {
                ++holders;
                CHECK(lease.fence() >= highestFence);
                CHECK((lease.fence() > highestFence || lastHolder == name));
                highestFence = std::max(highestFence, lease.fence());
                lastHolder = name;
            }
        }
        CHECK(holders <= 1);
    }
    CHECK(highestFence > 0);
}
