#include "replication/recordjson.h"
#include "replication/rendezvous.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift;
using namespace rosemaryshift::replication;

namespace {

membership::Peer host(const std::string &name, const std::string &zone)
{
    membership::Peer peer;
    peer.name = name;
    peer.zone = zone;
    return peer;
}

}

SCENARIO("A replica record survives a round trip through JSON with its chunks from the given index on")
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    ReplicaRecord record;
    record.id = "a.1-7";
    record.owner = "a.1";
    record.spec.kind = requests::RequestKind::Service;
    record.spec.workspace = "yard";
    record.spec.target = "dispatch";
    record.spec.trafficClass = TrafficClass::Lookup;
    record.spec.maxTokens = 9;
    record.spec.includeUsage = true;
    record.spec.method = "GET";
    record.spec.path = "/manifests";
    record.spec.headers = {{"Accept", "text/plain"}};
    record.spec.body = "body";
    record.deadline = now + std::chrono::seconds(5);
    record.chunks = {{R"({"content":"a"})", "a", 2}, {R"({"content":"b"})", "b", 1}};

    const std::optional<ReplicaRecord> read = recordFromJson(toJson(record, 1, now), now);
    REQUIRE(read);
    CHECK(read->id == record.id);
    CHECK(read->owner == record.owner);
    CHECK(read->deadline == record.deadline);
    CHECK(read->spec.deadline == std::chrono::seconds(5));
    CHECK(read->spec.kind == record.spec.kind);
    CHECK(read->spec.trafficClass == record.spec.trafficClass);
    CHECK(read->spec.maxTokens == 9);
    CHECK(read->spec.includeUsage);
    CHECK(read->spec.headers == record.spec.headers);
    CHECK(read->spec.body == "body");
    REQUIRE(read->chunks.size() == 1);
    CHECK(read->chunks[0].content == "b");
    CHECK_FALSE(recordFromJson(Json::Value("x"), now));
}

SCENARIO("Replica hosts in other availability zones come first, and the first choice stays when another host leaves")
{
    const std::vector<membership::Peer> peers{host("a", "eger"), host("b", "miskolc"), host("c", "miskolc"), host("d", "randers")};
    const std::vector<membership::Peer> order = rankReplicaHosts("request-1", peers, "eger");
    REQUIRE(order.size() == 4);
    CHECK(order.back().name == "a");
    WHEN("the second host in the order is leaving")
    {
        std::vector<membership::Peer> fewer = peers;
        std::ranges::find(fewer, order[1].name, &membership::Peer::name)->leaving = true;
        THEN("the first host stays first")
        {
            const std::vector<membership::Peer> after = rankReplicaHosts("request-1", fewer, "eger");
            REQUIRE(after.size() == 3);
            CHECK(after[0].name == order[0].name);
        }
    }
}
