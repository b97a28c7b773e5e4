#include "directory/listreach.h"
#include "directory/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::directory;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::milliseconds Renewal{1'200};
constexpr std::chrono::milliseconds Moment{1};

TimePoint after(std::int64_t milliseconds)
{
    return Start + std::chrono::milliseconds(milliseconds);
}

void readOften(ListReach &reach, std::int64_t from, std::int64_t until)
{
    for (std::int64_t time = from; time <= until; time += 500) {
        reach.noteRead(after(time));
    }
}

}

TEST_CASE("A host tells an outage of the list from being cut off itself")
{
    ListReach reach(Renewal);
    CHECK(!reach.inReachFor(Start));
    CHECK(!reach.noteRead(Start));
    CHECK(reach.inReachFor(after(500)) == std::chrono::milliseconds(500));
    CHECK(!reach.unsettled(after(500)));

    SECTION("a short gap lets nothing lapse")
    {
        reach.noteRead(after(900));
        CHECK(reach.noteFailure(after(1'000)));
        CHECK(!reach.noteFailure(after(1'500)));
        CHECK(reach.lost());
        CHECK(!reach.inReachFor(after(1'500)));
        CHECK(reach.noteRead(after(2'000)) == std::chrono::milliseconds(1'000));
        CHECK(!reach.lost());
        CHECK(!reach.unsettled(after(2'000)));
        CHECK(reach.inReachFor(after(2'100)) == std::chrono::milliseconds(100));
    }
    SECTION("after a long one, what is missing may come back for two seconds")
    {
        reach.noteFailure(after(1'000));
        reach.noteRead(after(6'000));
        CHECK(reach.unsettled(after(8'000) - Moment));
        CHECK(!reach.unsettled(after(8'000)));
        REQUIRE(reach.settlesAt());
        CHECK(*reach.settlesAt() == after(8'000));

        SECTION("unless a peer has read the list all the while")
        {
            readOften(reach, 6'500, 8'000);
            reach.noteSettled();
            readOften(reach, 8'500, 10'000);
            REQUIRE(!reach.settlesAt());
            reach.noteFailure(after(10'000));
            reach.noteRead(after(15'000));
            CHECK(!reach.notePeer(std::chrono::seconds(2), after(15'200)));
            CHECK(reach.unsettled(after(15'200)));
            CHECK(reach.notePeer(std::chrono::seconds(5), after(15'300)));
            CHECK(!reach.unsettled(after(15'300)));
            CHECK(!reach.settlesAt());
        }
    }
    SECTION("a second outage before all is settled is one with the first")
    {
        reach.noteFailure(after(1'000));
        reach.noteRead(after(6'000));
        reach.noteFailure(after(6'500));
        reach.noteRead(after(9'000));
        CHECK(reach.unsettled(after(10'900)));
        // This peer had the list from the second outage on, and knows nothing of the first.
        CHECK(!reach.notePeer(std::chrono::seconds(3), after(9'300)));
        CHECK(reach.unsettled(after(9'300)));
        CHECK(reach.notePeer(std::chrono::seconds(9), after(9'400)));
        CHECK(!reach.unsettled(after(9'400)));
    }
    SECTION("a peer settles the first outage also while this host is in the second")
    {
        reach.noteFailure(after(1'000));
        reach.noteRead(after(6'000));
        reach.noteFailure(after(6'500));
        CHECK(reach.notePeer(std::chrono::seconds(7), after(6'700)));
        CHECK(!reach.settlesAt());
    }
    SECTION("a host that stood still saw no read fail, and knows as little")
    {
        CHECK(!reach.inReachFor(after(5'000)));
        CHECK(!reach.noteRead(after(5'000)));
        CHECK(reach.unsettled(after(5'000)));
        CHECK(reach.inReachFor(after(5'300)) == std::chrono::milliseconds(300));
    }
    SECTION("what a peer says while this host reads the list, or cannot, proves nothing yet")
    {
        CHECK(!reach.notePeer(std::chrono::seconds(60), after(500)));
        reach.noteFailure(after(1'000));
        CHECK(!reach.notePeer(std::chrono::seconds(60), after(3'000)));
        reach.noteRead(after(6'000));
        CHECK(reach.unsettled(after(6'001)));
    }
}

TEST_CASE("An upstream that left while a host was cut off from the list gets nothing from it once the host is back")
{
    // Pattern: a machine is cut off from the store for 5 s, and an upstream leaves by the removal of its entry just before the cut heals. The
    // host must know that three seconds after the cut: 0.95 s until the next read comes through, and a round of news from a peer.
    ListReach reach(Renewal);
    UpstreamDirectory directory;
    UpstreamEntry entry;
    entry.instance = "a";
    entry.service = "engines";
    directory.apply(entry, Start);
    reach.noteRead(Start);
    reach.noteFailure(after(700));
    const TimePoint healed = after(5'000);
    const TimePoint read = healed + std::chrono::milliseconds(950);
    reach.noteRead(read);
    directory.remove("a", read, reach.unsettled(read));
    CHECK(directory.usable("engines", read).size() == 1);

    const TimePoint told = read + std::chrono::milliseconds(400);
    REQUIRE(reach.notePeer(std::chrono::seconds(30), told));
    directory.settle(told);
    CHECK(directory.usable("engines", told).empty());
}
