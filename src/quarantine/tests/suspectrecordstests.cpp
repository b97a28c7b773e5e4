#include "quarantine/crashquarantine.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::quarantine;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1'000)};
constexpr SuspectId Deadly{SuspectKind::Request, 0xdead};
/// Time after which a host reaches a verdict on enough crashes.
constexpr milliseconds VerdictTime{1'300};

RequestTraits lookup(std::uint64_t fingerprint)
{
    return {"dispatch", fingerprint, {}};
}

/// A host, which may be started with the records of an earlier one.
class Host
{
public:
    void crash(int number, TimePoint now)
    {
        const std::string instance = "i-" + std::to_string(number);
        quarantine.noteBroken(lookup(Deadly.number), instance, now - milliseconds(5), now);
        quarantine.noteBroken(lookup(0x100U + static_cast<std::uint64_t>(number)), instance, now - seconds(2), now);
    }

    [[nodiscard]] bool blocks(TimePoint now)
    {
        return quarantine.admit(lookup(Deadly.number), now).has_value();
    }

    /// The record of the verdict, as a host that starts later reads it.
    [[nodiscard]] VerdictRecord verdict(TimePoint now) const
    {
        const std::optional<VerdictRecord> record = quarantine.verdict(Deadly, now);
        REQUIRE(record);
        const std::optional<VerdictRecord> decoded = verdictRecord(toJson(*record));
        REQUIRE(decoded);
        CHECK(*decoded == *record);
        return *decoded;
    }

    [[nodiscard]] EvidenceRecord evidence(TimePoint now) const
    {
        const EvidenceRecord record = quarantine.evidence(now);
        const std::optional<EvidenceRecord> decoded = evidenceRecord(toJson(record));
        REQUIRE(decoded);
        CHECK(*decoded == record);
        return *decoded;
    }

    CrashQuarantine quarantine{[](SuspectId, SuspectChange, std::size_t) {}};
};

}

// Guards against requests that crash upstreams anew after all hosts have ended (review/15).
TEST_CASE("A host that starts keeps the suspects in quarantine that are recorded")
{
    Host before;
    for (int crash = 0; crash < 3; ++crash) {
        before.crash(crash, Start + milliseconds(100) * crash);
    }
    const TimePoint judged = Start + VerdictTime;
    before.quarantine.update(judged);
    const VerdictRecord record = before.verdict(judged);
    Host after;
    after.quarantine.restore(record, seconds(2), judged + seconds(2));
    CHECK(after.blocks(judged + seconds(2)));
    CHECK(after.quarantine.suspectsInQuarantine(lookup(Deadly.number)) == std::vector<SuspectId>{Deadly});
    CHECK(after.quarantine.suspectsInQuarantine(lookup(0x100)).empty());

    SECTION("until the hold from the last crash has passed")
    {
        CHECK(after.blocks(Start + seconds(30)));
        CHECK(!after.blocks(Start + seconds(31)));
    }
    SECTION("a recorded trial counts as failed when the record does not tell what came of it")
    {
        const TimePoint trial = Start + seconds(31);
        CHECK(!before.blocks(trial));
        Host later;
        later.quarantine.restore(before.verdict(trial), seconds(1), trial + seconds(1));
        CHECK(later.blocks(trial + seconds(59)));
        CHECK(!later.blocks(trial + seconds(61)));
    }
    SECTION("a complete answer releases it")
    {
        after.quarantine.noteCompleted(lookup(Deadly.number), judged + seconds(3));
        CHECK(!after.blocks(judged + seconds(3)));
        CHECK(!after.quarantine.verdict(Deadly, judged + seconds(3)));
    }
    SECTION("unless the crashes are too long ago")
    {
        Host later;
        const TimePoint now = judged + seconds(1'900);
        later.quarantine.restore(record, seconds(1'900), now);
        later.quarantine.update(now);
        CHECK(!later.blocks(now));
    }
}

TEST_CASE("The crashes in a record of a service with a single upstream, which is back seconds after each of them, stay apart")
{
    Host before;
    for (int crash = 0; crash < 3; ++crash) {
        before.crash(0, Start + seconds(4) * crash);
    }
    const TimePoint judged = Start + seconds(8) + VerdictTime;
    before.quarantine.update(judged);
    Host after;
    after.quarantine.restore(before.verdict(judged), seconds(1), judged + seconds(1));
    CHECK(after.blocks(judged + seconds(1)));
}

TEST_CASE("A host that starts goes on with the recorded evidence against suspects that are not in quarantine")
{
    Host before;
    before.crash(0, Start);
    before.crash(1, Start + seconds(4));
    const TimePoint ended = Start + seconds(4) + milliseconds(50);
    const EvidenceRecord record = before.evidence(ended);
    Host after;
    const TimePoint started = ended + seconds(1);
    after.quarantine.restore(record, seconds(1), started);
    CHECK(!after.blocks(started));

    SECTION("so that the third crash is enough for a verdict")
    {
        after.crash(2, started + seconds(3));
        after.quarantine.update(started + seconds(3) + VerdictTime);
        CHECK(after.blocks(started + seconds(3) + VerdictTime));
    }
    SECTION("and evidence that suffices leads to a verdict once no complete answer has come in the time that a running host waits")
    {
        Host brief; // It ended before it could reach a verdict.
        for (int crash = 0; crash < 3; ++crash) {
            brief.crash(crash, ended - milliseconds(100) * crash);
        }
        Host later;
        later.quarantine.restore(brief.evidence(ended), seconds(1), started);
        later.quarantine.update(started + milliseconds(500));
        CHECK(!later.blocks(started + milliseconds(500)));

        SECTION("of a crashing request")
        {
            later.quarantine.update(started + VerdictTime);
            CHECK(later.blocks(started + VerdictTime));
        }
        SECTION("but not when one has come")
        {
            later.quarantine.noteCompleted(lookup(Deadly.number), started + milliseconds(600));
            later.quarantine.update(started + VerdictTime);
            CHECK(!later.blocks(started + VerdictTime));
        }
    }
    SECTION("a crash that two records tell, by clocks that differ by seconds, counts once")
    {
        after.quarantine.restore(record, seconds(3), started);
        after.crash(2, started + seconds(8));
        after.quarantine.update(started + seconds(8) + VerdictTime);
        const std::optional<VerdictRecord> verdict = after.quarantine.verdict(Deadly, started + seconds(8) + VerdictTime);
        REQUIRE(verdict);
        CHECK(verdict->report.crashes.size() == 3);
    }
    SECTION("evidence that is older than a suspicion lasts is left out")
    {
        Host later;
        later.quarantine.restore(record, seconds(61), ended + seconds(61));
        later.crash(2, ended + seconds(61));
        later.quarantine.update(ended + seconds(63));
        CHECK(!later.blocks(ended + seconds(63)));
    }
    SECTION("the record is bounded, and keeps the suspects with the most crashes and the shortest presence")
    {
        for (std::uint64_t number = 0; number < 100; ++number) {
            before.quarantine.noteBroken(lookup(0x1000 + number), "i-9", ended - milliseconds(1'500), ended);
        }
        const EvidenceRecord bounded = before.evidence(ended);
        CHECK(bounded.suspects.size() == 8);
        CHECK(bounded.suspects.front().id == Deadly);
    }
    SECTION("requests that had been in progress for longer than a crashing one takes to begin are left out")
    {
        Host other;
        other.quarantine.noteBroken(lookup(1), "i-9", ended - seconds(3), ended);
        CHECK(other.evidence(ended).suspects.empty());
    }
}
