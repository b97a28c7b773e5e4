#include "membership/heartbeatjson.h"
#include "membership/peertable.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::membership;

namespace {

Peer peer(const std::string &incarnation, bool leaving = false)
{
    return {"entry-2", incarnation, "eger", {"127.0.0.1", 1}, {"127.0.0.1", 2}, leaving};
}

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

}

SCENARIO("A peer table decides from heartbeats which peers are live")
{
    PeerTable table({std::chrono::milliseconds(500), 4, 8'000, {}});
    REQUIRE(table.recordHeartbeat(peer("a"), at(0)).size() == 1);

    WHEN("a live peer sends its next heartbeat in time")
    {
        CHECK(table.recordHeartbeat(peer("a"), at(500)).empty());
    }
    WHEN("a peer sends no heartbeat for more than four intervals")
    {
        CHECK(table.expire(at(2'000)).empty());
        const std::vector<PeerEvent> events = table.expire(at(2'001));
        THEN("the peer is lost, and live again after its next heartbeat")
        {
            REQUIRE(events.size() == 1);
            CHECK(events[0].change == PeerChange::Lost);
            CHECK_FALSE(table.peer("entry-2"));
            CHECK(table.recordHeartbeat(peer("a"), at(3'000)).size() == 1);
        }
    }
    WHEN("a peer announces a longer interval until its next heartbeat")
    {
        table.recordHeartbeat(peer("a"), at(500), std::chrono::milliseconds(2'000));
        CHECK(table.expire(at(8'500)).empty());
        CHECK(table.expire(at(8'501)).size() == 1);
    }
    WHEN("a peer announces that it is leaving")
    {
        REQUIRE(table.recordHeartbeat(peer("a", true), at(500)).size() == 1);
        THEN("the peer stays leaving when an earlier heartbeat of the same incarnation arrives late")
        {
            CHECK(table.recordHeartbeat(peer("a"), at(501)).empty());
            CHECK(table.peer("entry-2")->leaving);
        }
        THEN("a heartbeat of a new incarnation replaces the leaving incarnation")
        {
            const std::vector<PeerEvent> events = table.recordHeartbeat(peer("b"), at(600));
            REQUIRE(events.size() == 2);
            CHECK(events[0].change == PeerChange::Lost);
            CHECK(events[1].change == PeerChange::Appeared);
            CHECK(table.heardWithin("entry-2", std::chrono::milliseconds(100), at(700)));
            CHECK_FALSE(table.heardWithin("entry-2", std::chrono::milliseconds(99), at(700)));
            CHECK_FALSE(table.peer("entry-2")->leaving);
            AND_THEN("a late heartbeat of the replaced incarnation is ignored")
            {
                CHECK(table.recordHeartbeat(peer("a"), at(700)).empty());
                CHECK(table.peer("entry-2")->incarnation == "b");
            }
        }
    }
    GIVEN("the JSON form of a heartbeat's sender, which survives a round trip")
    {
        const std::optional<Peer> read = peerFromJson(toJson(peer("a", true)));
        REQUIRE(read);
        CHECK(read->leaving);
        CHECK(read->callerEndpoint.port == 2);
        CHECK_FALSE(peerFromJson(Json::Value("x")));
        CHECK_FALSE(peerFromJson(Json::Value(Json::objectValue)));
    }
}
