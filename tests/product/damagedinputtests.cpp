#include "base/json.h"
#include "base/text.h"
#include "support/fleet.h"
#include "support/inputmutator.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr std::size_t Rounds = 100;
constexpr const char *Token = "operators-token";

FleetOptions oneHost()
{
    FleetOptions options;
    options.zones = {"eger"};
    return options;
}

void appendToLog(const Fleet &fleet, const std::vector<std::string> &records)
{
    Json::Value body;
    body["records"] = Json::Value(Json::arrayValue);
    for (const std::string &record : records) {
        body["records"].append(record);
    }
    REQUIRE(exchange(fleet.platform(), makeRequest("POST", "/v1/log", toText(body))).status == 200);
}

std::size_t skippedEvents(Fleet &fleet)
{
    const std::vector<timeline::TimelineEvent> events = fleet.events(0);
    return static_cast<std::size_t>(std::ranges::count(events, timeline::EventKind::RecordSkipped, &timeline::TimelineEvent::kind));
}

std::string metricsText(Fleet &fleet)
{
    http::Request request = makeRequest("GET", "/metrics");
    request.headers.add("Authorization", std::string("Bearer ") + Token);
    return exchange(fleet.entry(0).operators, request).body;
}

/// Checks that the host is ready and serves a chat request of class question.
void checkServes(Fleet &fleet)
{
    const http::Request question = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", false, 2));
    CHECK(exchange(fleet.entry(0).callers, question).status == 200);
    CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/readyz")).status == 200);
}

}

SCENARIO("A host keeps serving after corrupted input from callers, peers and the platform")
{
    const std::uint32_t seed = GENERATE(1U, 2U);
    INFO("seed " << seed);
    InputMutator mutator(seed);
    Fleet fleet(oneHost());
    GIVEN("chat requests with corrupted bodies")
    {
        const std::string body = Fleet::chatBody("yard-small", "which label?", false, 2);
        for (std::size_t round = 0; round < Rounds; ++round) {
            const std::string damaged = mutator.mutate(body);
            INFO("round " << round << ": " << damaged);
            const int status = exchange(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", damaged)).status;
            CHECK((status == 200 || status == 400 || status == 404));
        }
        THEN("each gets an HTTP answer and the host keeps serving")
        {
            checkServes(fleet);
        }
    }
    GIVEN("corrupted RPC calls from peers")
    {
        const std::string call
            = R"([{"id":1,"jsonrpc":"2.0","method":"heartbeat","params":{"sender":{"name":"entry-9","incarnation":"1","zone":"eger","peers":"127.0.0.1:1","callers":"127.0.0.1:1","leaving":false},"sections":{"templates":{"fingerprint":"1"}}}}])";
        for (std::size_t round = 0; round < Rounds; ++round) {
            http::Request request = makeRequest("POST", "/rpc", mutator.mutate(call));
            request.headers.add("Authorization", std::string("Bearer ") + Token);
            INFO("round " << round << ": " << request.body);
            const int status = exchange(fleet.entry(0).peers, request).status;
            CHECK((status >= 200 && status < 500));
        }
        THEN("each gets an HTTP answer and the host keeps serving")
        {
            checkServes(fleet);
        }
    }
    GIVEN("malformed log records and one of an unknown kind, followed by a valid one")
    {
        appendToLog(fleet, {"", "{", "[]", R"({"kind":"song"})", std::string(1'000, '['), "\x01\x02"});
        const Json::Value answer = fleet.publishTemplate(0, "yard", 1, "after-damage", yardTemplate());
        THEN("the invalid records are skipped and counted in the metrics and the timeline, and the valid change is accepted")
        {
            CHECK(answer["verdict"] == "accepted");
            CHECK(skippedEvents(fleet) == 6);
            CHECK_THAT(metricsText(fleet), Catch::Contains("rosemaryshift_skipped_records_total{source=\"log\"} 6\n"));
            checkServes(fleet);
        }
    }
    GIVEN("corrupted log records, followed by a valid one")
    {
        const std::string record = R"({"kind":"template","workspace":"stall","base":0,"change":"c1","author":"committee","text":"workspace = \"stall\"\n"})";
        std::vector<std::string> records;
        for (std::size_t round = 0; round < Rounds; ++round) {
            // Records travel in JSON, which can only hold valid UTF-8, so bytes above 127 are replaced.
            std::string damaged = mutator.mutate(record);
            std::ranges::replace_if(
                damaged, [](char c) { return c < 0; }, '?');
            records.push_back(damaged);
        }
        appendToLog(fleet, records);
        const Json::Value answer = fleet.publishTemplate(0, "yard", 1, "after-damage", yardTemplate());
        THEN("the host reads past them and accepts the valid change")
        {
            CHECK(answer["verdict"] == "accepted");
            checkServes(fleet);
        }
    }
}
