#include "directory/listavailability.h"
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

void readOften(ListAvailability &list, std::int64_t from, std::int64_t until)
{
    for (std::int64_t time = from; time <= until; time += 500) {
        list.noteRead(after(time));
    }
}

}

TEST_CASE("A host tells an outage of the list from being cut off itself")
{
    ListAvailability list(Renewal);
    CHECK(!list.reachableFor(Start));
    CHECK(!list.noteRead(Start));
    CHECK(list.reachableFor(after(500)) == std::chrono::milliseconds(500));
    CHECK(!list.unsettled(after(500)));

    SECTION("a short gap lets nothing lapse")
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
    SECTION("after a long one, what is missing may come back for two seconds")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        CHECK(list.unsettled(after(8'000) - Moment));
        CHECK(!list.unsettled(after(8'000)));
        REQUIRE(list.settlesAt());
        CHECK(*list.settlesAt() == after(8'000));

        SECTION("unless a peer has read the list all the while")
        {
            readOften(list, 6'500, 8'000);
            list.noteSettled();
            readOften(list, 8'500, 10'000);
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
    SECTION("a second outage before all is settled is one with the first")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        list.noteFailure(after(6'500));
        list.noteRead(after(9'000));
        CHECK(list.unsettled(after(10'900)));
        // This peer had the list from the second outage on, and knows nothing of the first.
        CHECK(!list.notePeer(std::chrono::seconds(3), after(9'300)));
        CHECK(list.unsettled(after(9'300)));
        CHECK(list.notePeer(std::chrono::seconds(9), after(9'400)));
        CHECK(!list.unsettled(after(9'400)));
    }
    SECTION("a peer settles the first outage also while this host is in the second")
    {
        list.noteFailure(after(1'000));
        list.noteRead(after(6'000));
        list.noteFailure(after(6'500));
        CHECK(list.notePeer(std::chrono::seconds(7), after(6'700)));
        CHECK(!list.settlesAt());
    }
    SECTION("a host that stood still saw no read fail, and knows as little")
    {
        CHECK(!list.reachableFor(after(5'000)));
        CHECK(!list.noteRead(after(5'000)));
        CHECK(list.unsettled(after(5'000)));
        CHECK(list.reachableFor(after(5'300)) == std::chrono::milliseconds(300));
    }
    SECTION("what a peer says while this host reads the list, or cannot, proves nothing yet")
    {
        CHECK(!list.notePeer(std::chrono::seconds(60), after(500)));
        list.noteFailure(after(1'000));
        CHECK(!list.notePeer(std::chrono::seconds(60), after(3'000)));
        list.noteRead(after(6'000));
        CHECK(list.unsettled(after(6'001)));
    }
}

TEST_CASE("An upstream that left while a host was cut off from the list gets nothing from it once the host is back")
{
    // Pattern: a machine is cut off from the store for 5 s, and an upstream leaves by the removal of its entry just before the cut heals. The
    // host must know that three seconds after the cut: 0.95 s until the next read comes through, and a round of news from a peer.
    ListAvailability list(Renewal);
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

    const TimePoint told = read + std::chrono::milliseconds(400);
    REQUIRE(list.notePeer(std::chrono::seconds(30), told));
    directory.settle(told);
    CHECK(directory.usable("engines", told).empty());
}
