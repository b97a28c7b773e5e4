#include "gossip/peerlistschedule.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemaryshift::gossip;

namespace {

/// Number of the next @p statuses that contain the list of these peers.
int listsIn(int statuses, PeerListSchedule &schedule, const std::vector<std::string> &heard, const std::set<std::string> &known)
{
    int lists = 0;
    for (int status = 0; status < statuses; ++status) {
        lists += schedule.nextContainsList(heard, known) ? 1 : 0;
    }
    return lists;
}

}

// Guards against statuses of hundreds of hosts that nearly all contain the list of peers, since one of them is late at nearly any time.
TEST_CASE("The list of peers goes into few statuses while peers only fall silent and are heard again")
{
    std::vector<std::string> all;
    for (int number = 0; number < 294; ++number) {
        all.push_back("10.0." + std::to_string(number / 100) + "." + std::to_string(number % 100));
    }
    const std::set<std::string> known(all.begin(), all.end());
    PeerListSchedule schedule;
    REQUIRE(listsIn(2, schedule, all, known) == 2);

    SECTION("an unchanged list is repeated in two of ten statuses")
    {
        CHECK(listsIn(8, schedule, all, known) == 0);
        CHECK(listsIn(100, schedule, all, known) == 20);
    }
    SECTION("another peer is silent at each status")
    {
        int lists = 0;
        for (std::size_t silent = 0; silent < 100; ++silent) {
            std::vector<std::string> heard = all;
            heard.erase(heard.begin() + static_cast<std::ptrdiff_t>(silent));
            lists += schedule.nextContainsList(heard, known) ? 1 : 0;
        }
        CHECK(lists == 20);
    }
    SECTION("a new peer is listed at once, twice as datagrams are lost")
    {
        std::vector<std::string> more = all;
        more.emplace_back("10.0.9.1");
        std::set<std::string> knownMore(more.begin(), more.end());
        CHECK(listsIn(1, schedule, all, known) == 0);
        CHECK(listsIn(2, schedule, more, knownMore) == 2);
        CHECK(listsIn(8, schedule, more, knownMore) == 0);

        SECTION("a peer that has left is taken out at once")
        {
            CHECK(listsIn(10, schedule, all, known) == 2);
        }
    }
    SECTION("a host that knows no peer begins with a list")
    {
        PeerListSchedule first;
        CHECK(listsIn(1, first, {}, {}) == 1);
    }
}
