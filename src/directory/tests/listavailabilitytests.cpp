#include "directory/listavailability.h"
#include "directory/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::directory;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds Renewal{1'200};
constexpr std::chrono::milliseconds ReadInterval{500};
constexpr std::chrono::milliseconds OneMillisecond{1};

TimePoint after(std::int64_t milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

void readRepeatedly(ListAvailability &list, std::int64_t from, std::int64_t until)
{
    for (std::int64_t time = from; time <= until; time += 500) {
        list.noteRead(after(time));
    }
}

}

// Guards against streams that are taken for those of an earlier run because an outage of the list was not counted into the time to its listing.
TEST_CASE("The list tells since when it was not read until it has settled after an outage")
{
    ListAvailability list(Renewal, ReadInterval);
    readRepeatedly(list, 0, 1'000);
    CHECK(!list.outageBegan());
    list.noteFailure(after(1'500));
    CHECK(!list.outageBegan());
    list.noteRead(after(9'000));
    CHECK(list.outageBegan() == after(1'000));

    SECTION("reads after it do not change that")
    {
        list.noteRead(after(9'500));
        CHECK(list.outageBegan() == after(1'000));
        list.noteSettled();
        CHECK(!list.outageBegan());
    }
    SECTION("it is the same for a host that was suspended and saw no read fail")
    {
        list.noteSettled();
        list.noteRead(after(20'000));
        CHECK(list.outageBegan() == after(9'000));
    }
}

TEST_CASE("An outage of the list for all hosts is told apart from a partition of this host")
{
    ListAvailability list(Renewal, ReadInterval);
    CHECK(!list.reachableFor(Start));
    CHECK(!list.noteRead(Start));
    CHECK(list.reachableFor(after(500)) == std::chrono::milliseconds(500));
    CHECK(!list.unsettled(after(500)));

    SECTION("after an outage shorter than a renewal, the list is settled")
    {
        list.noteRead(after(900));
        CHECK(list.noteFailure(after(1'000)));
        CHECK(!list.noteFailure(after(1'500)));
        CHECK(list.unreachable());
        CHECK(!list.reachableFor(after(1'500)));
        CHECK(list.noteRead(after(2'000)) == std::chrono::milliseconds(1'000));
        CHECK(!list.unreachable());
        CHECK(!list.unsettled(after(2'000)));
        CHECK(list.reachableFor(after(2'100)) == std::chrono::milliseconds(100));
    }
    SECTION("after an outage longer than a renewal, the list stays unsettled for two seconds")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        CHECK(list.unsettled(after(8'000) - OneMillisecond));
        CHECK(!list.unsettled(after(8'000)));
        REQUIRE(list.settlesAt());
        CHECK(*list.settlesAt() == after(8'000));

        SECTION("the list settles earlier when a peer reports that it could read the list throughout the outage")
        {
            readRepeatedly(list, 6'500, 8'000);
            list.noteSettled();
            readRepeatedly(list, 8'500, 10'000);
            REQUIRE(!list.settlesAt());
            list.noteFailure(after(10'000));
            list.noteRead(after(15'000));
            CHECK(!list.notePeer(std::chrono::seconds(2), after(15'200)));
            CHECK(list.unsettled(after(15'200)));
            CHECK(list.notePeer(std::chrono::seconds(5), after(15'300)));
            CHECK(!list.unsettled(after(15'300)));
            CHECK(!list.settlesAt());
        }
    }
    SECTION("a second outage before the list has settled counts as one with the first")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        list.noteFailure(after(6'500));
        list.noteRead(after(9'000));
        CHECK(list.unsettled(after(10'900)));
        // This peer could read the list only from the second outage on, so it cannot rule out that entries lapsed in the first.
        CHECK(!list.notePeer(std::chrono::seconds(3), after(9'300)));
        CHECK(list.unsettled(after(9'300)));
        CHECK(list.notePeer(std::chrono::seconds(9), after(9'400)));
        CHECK(!list.unsettled(after(9'400)));
    }
    SECTION("a peer's report settles the first outage even while the list is unreachable again")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        list.noteFailure(after(6'500));
        CHECK(list.notePeer(std::chrono::seconds(7), after(6'700)));
        CHECK(!list.settlesAt());
    }
    SECTION("a long time without any read counts as an outage, since a suspended host sees no read fail")
    {
        CHECK(list.reachableFor(Start + ReadInterval + Renewal));
        CHECK(!list.reachableFor(Start + ReadInterval + Renewal + OneMillisecond));
        CHECK(!list.reachableFor(after(5'000)));
        CHECK(!list.noteRead(after(5'000)));
        CHECK(list.unsettled(after(5'000)));
        CHECK(list.reachableFor(after(5'300)) == std::chrono::milliseconds(300));
    }
    SECTION("a peer's report before an outage or during it does not settle the list")
    {
        CHECK(!list.notePeer(std::chrono::seconds(60), after(500)));
        list.noteFailure(after(1'000));
        CHECK(!list.notePeer(std::chrono::seconds(60), after(3'000)));
        list.noteRead(after(6'000));
        CHECK(list.unsettled(after(6'001)));
    }
}

TEST_CASE("An upstream that left while a host could not read the list gets no requests from that host after a peer's report")
{
    // A host is partitioned from the platform's log for 5 s, and the entry of a leaving upstream is removed just before the partition ends. The host
    // must know within 3 s of the end that the upstream has left: 0.95 s until the next read succeeds, plus one gossip round of a peer.
    ListAvailability list(Renewal, ReadInterval);
    UpstreamDirectory directory;
    UpstreamEntry entry;
    entry.instance = "a";
    entry.service = "engines";
    directory.apply(entry, Start);
    list.noteRead(Start);
    list.noteFailure(after(700));
    const TimePoint healed = after(5'000);
    const TimePoint read = healed + std::chrono::milliseconds(950);
    list.noteRead(read);
    directory.remove("a", read, list.unsettled(read));
    CHECK(directory.usable("engines", read).size() == 1);

    const TimePoint peerReport = read + std::chrono::milliseconds(400);
    REQUIRE(list.notePeer(std::chrono::seconds(30), peerReport));
    directory.settle(peerReport);
    CHECK(directory.usable("engines", peerReport).empty());
}

// Guards against a list that never settles, because the time between two reads is longer than the one between two renewals and each read is taken for the
// end of an outage: an upstream whose entry is removed was then kept, and got requests, until the next read that was on time.
TEST_CASE("An upstream whose entry is removed gets no requests after the next read, whatever the bounds of the platform are")
{
    const std::chrono::milliseconds renewal = GENERATE(std::chrono::milliseconds(300), Renewal, std::chrono::milliseconds(5'000));
    const std::chrono::milliseconds maxLeavingDelay = GENERATE(std::chrono::milliseconds(1'000),
                                                               std::chrono::milliseconds(2'000),
                                                               std::chrono::milliseconds(3'000),
                                                               std::chrono::milliseconds(4'000),
                                                               std::chrono::milliseconds(12'000));
    // The time until the log answers, and by which a host that is short of processor time is late.
    const std::chrono::milliseconds lateness = GENERATE(std::chrono::milliseconds(4), std::chrono::milliseconds(250));
    CAPTURE(renewal.count(), maxLeavingDelay.count(), lateness.count());
    const Duration interval = listReadInterval(maxLeavingDelay, renewal);
    ListAvailability list(renewal, interval);
    UpstreamDirectory directory;
    UpstreamEntry entry;
    entry.instance = "a";
    entry.service = "engines";
    directory.apply(entry, Start);
    TimePoint now = Start;
    for (int read = 0; read < 20; ++read) {
        list.noteRead(now);
        CHECK(!list.unsettled(now));
        now += interval + lateness;
        CHECK(list.reachableFor(now) == now - Start);
    }
    SECTION("the upstream is gone with the first read that finds its entry missing, within the bound")
    {
        const TimePoint removedAt = now - interval;
        list.noteRead(now);
        directory.remove("a", now, list.unsettled(now));
        CHECK(directory.usable("engines", now).empty());
        CHECK(now - removedAt < maxLeavingDelay / 2);
    }
    SECTION("an outage in which entries may lapse is noticed, by a read that fails or one that is overdue")
    {
        const bool readFails = GENERATE(true, false);
        CAPTURE(readFails);
        list.noteRead(now);
        if (readFails) {
            list.noteFailure(now + interval);
        }
        now += interval + renewal + OneMillisecond;
        list.noteRead(now);
        CHECK(list.unsettled(now));
        directory.remove("a", now, list.unsettled(now));
        CHECK(directory.usable("engines", now).size() == 1);
    }
}
