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

SCENARIO("A host decides from heartbeats who is there")
{
    PeerTable table({std::chrono::milliseconds(500), 4, 8'000, {}});
    REQUIRE(table.recordHeartbeat(peer("a"), at(0)).size() == 1);

    WHEN("it is heard again")
    {
        CHECK(table.recordHeartbeat(peer("a"), at(500)).empty());
    }
    WHEN("it is silent for four intervals")
    {
        CHECK(table.expire(at(2'000)).empty());
        const std::vector<PeerEvent> events = table.expire(at(2'001));
        THEN("it is lost, and back when it speaks again")
        {
            REQUIRE(events.size() == 1);
            CHECK(events[0].change == PeerChange::Lost);
            CHECK_FALSE(table.peer("entry-2"));
            CHECK(table.recordHeartbeat(peer("a"), at(3'000)).size() == 1);
        }
    }
    WHEN("it says that its next heartbeat may take longer")
    {
        table.recordHeartbeat(peer("a"), at(500), std::chrono::milliseconds(2'000));
        CHECK(table.expire(at(8'500)).empty());
        CHECK(table.expire(at(8'501)).size() == 1);
    }
    WHEN("it says that it leaves")
    {
        REQUIRE(table.recordHeartbeat(peer("a", true), at(500)).size() == 1);
        THEN("it stays leaving for this incarnation, whatever a late heartbeat says")
        {
            CHECK(table.recordHeartbeat(peer("a"), at(501)).empty());
            CHECK(table.peer("entry-2")->leaving);
        }
        THEN("a new incarnation replaces it")
        {
            const std::vector<PeerEvent> events = table.recordHeartbeat(peer("b"), at(600));
            REQUIRE(events.size() == 2);
            CHECK(events[0].change == PeerChange::Lost);
            CHECK(events[1].change == PeerChange::Appeared);
            CHECK(table.heardWithin("entry-2", std::chrono::milliseconds(100), at(700)));
            CHECK_FALSE(table.heardWithin("entry-2", std::chrono::milliseconds(99), at(700)));
            CHECK_FALSE(table.peer("entry-2")->leaving);
            AND_THEN("a late heartbeat of the replaced incarnation changes nothing")
            {
                CHECK(table.recordHeartbeat(peer("a"), at(700)).empty());
                CHECK(table.peer("entry-2")->incarnation == "b");
            }
        }
    }
    GIVEN("a heartbeat's sender in JSON")
    {
        const std::optional<Peer> read = peerFromJson(toJson(peer("a", true)));
        REQUIRE(read);
        CHECK(read->leaving);
        CHECK(read->callerEndpoint.port == 2);
        CHECK_FALSE(peerFromJson(Json::Value("x")));
        CHECK_FALSE(peerFromJson(Json::Value(Json::objectValue)));
    }
}
