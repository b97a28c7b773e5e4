#include "support/answers.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;
using timeline::EventKind;
using timeline::TimelineEvent;

namespace {

constexpr int Tokens = 400;

FleetOptions threeZones()
{
    FleetOptions options;
    options.engineSettings = "first_token_us = 1000\nper_token_us = 10000\n";
    return options;
}

http::Request plan(bool stream)
{
    return Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care plan", stream, Tokens));
}

void sendReclaimNotice(Fleet &fleet, const std::string &host, int milliseconds)
{
    const std::string body = "{\"host\":\"" + host + "\",\"reclaim_in_ms\":" + std::to_string(milliseconds) + "}";
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/notice", body)).status == 200);
}

/// Reattaches to request @p id through each of @p hosts in turn until its answer is complete. @p words holds the word numbers
/// received so far; returns them with those received here.
std::vector<int> resumeUntilComplete(Fleet &fleet, const std::vector<std::size_t> &hosts, const std::string &id, std::vector<int> words)
{
    std::size_t next = 0;
    awaitCondition("the complete answer to request " + id, [&] {
        http::Request request = Fleet::callerRequest("GET", "/v1/requests/" + id);
        request.headers.add("Last-Event-ID", std::to_string(words.size()));
        const std::optional<http::Response> response = tryExchange(fleet.entry(hosts[next++ % hosts.size()]).callers, request);
        if (!response || response->status != 200) {
            return false;
        }
        const std::vector<int> more = wordNumbers(response->body);
        words.insert(words.end(), more.begin(), more.end());
        return response->body.find("[DONE]") != std::string::npos;
    });
    return words;
}

std::optional<TimelineEvent> firstEventOf(Fleet &fleet, std::size_t entry, EventKind kind)
{
    const std::vector<TimelineEvent> events = fleet.events(entry);
    const std::vector<TimelineEvent>::const_iterator found = std::ranges::find_if(events, [kind](const TimelineEvent &event) { return event.kind == kind; });
    return found == events.end() ? std::nullopt : std::optional(*found);
}

/// Waits until @p stream has passed token 20 and the peers of the first host together hold @p records replica records of its
/// requests.
void awaitStreamReplicated(Fleet &fleet, PendingExchange &stream, int records)
{
    stream.awaitText("-20 ");
    awaitCondition("the replica records on the peers", [&] {
        return fleet.operatorGet(1, "/v1/status")["replica_records"].asInt() + fleet.operatorGet(2, "/v1/status")["replica_records"].asInt() == records;
    });
}

}

SCENARIO("An entry host is reclaimed while one caller receives a stream and another waits for an unstreamed answer")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    PendingExchange waiting(fleet.entry(0).callers, plan(false));
    awaitStreamReplicated(fleet, stream, 2);

    sendReclaimNotice(fleet, "entry-1", 1'000);
    const std::optional<http::Response> cut = stream.awaitEnd();
    const std::optional<http::Response> refused = waiting.awaitEnd();
    REQUIRE(cut);
    CHECK_THAT(cut->body, Catch::Contains("event: moved"));
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->headers.find("Retry-After") == "0");
    CHECK(fleet.entry(0).process->awaitExit() == 0);

    WHEN("the callers reattach through the remaining hosts")
    {
        const std::vector<int> streamed = resumeUntilComplete(fleet, {1, 2}, requestId(cut->body), wordNumbers(cut->body));
        const std::string id(refused->headers.find("Rosemaryshift-Request").value());
        const std::vector<int> whole = resumeUntilComplete(fleet, {2, 1}, id, {});
        THEN("the callers get the complete answers, without a lost or repeated token")
        {
            CHECK(streamed == numbersBelow(Tokens));
            CHECK(whole == numbersBelow(Tokens));
        }
    }
}

SCENARIO("An entry host, the engine of its zone and then the host that resumed its stream are reclaimed")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    fleet.publishHosts({}, {{"engine-1", 1'500}, {"service-1", 1'500}});
    sendReclaimNotice(fleet, "entry-1", 1'000);
    std::size_t successor = 0;
    awaitCondition("a peer to resume the stream", [&] {
        for (std::size_t i = 1; i < fleet.entries(); ++i) {
            successor = firstEventOf(fleet, i, EventKind::RequestResumed) ? i : successor;
        }
        return successor != 0;
    });
    sendReclaimNotice(fleet, fleet.entry(successor).name, 1'000);
    const std::optional<http::Response> cut = stream.awaitEnd();
    REQUIRE(cut);
    CHECK_THAT(cut->body, Catch::Contains("event: moved"));
    CHECK(fleet.entry(successor).process->awaitExit() == 0);
    const std::vector<int> words = resumeUntilComplete(fleet, {3 - successor}, requestId(cut->body), wordNumbers(cut->body));
    CHECK(words == numbersBelow(Tokens));
}

SCENARIO("An entry host is reclaimed while it drains after SIGTERM")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    fleet.entry(0).process->signal(SIGTERM);
    awaitCondition("the stopping host to close its callers' listener",
                   [&] { return !tryExchange(fleet.entry(0).callers, Fleet::callerRequest("GET", "/v1/models")); });
    sendReclaimNotice(fleet, "entry-1", 1'000);
    const std::optional<http::Response> cut = stream.awaitEnd();
    REQUIRE(cut);
    CHECK_THAT(cut->body, Catch::Contains("event: moved"));
    CHECK(fleet.entry(0).process->awaitExit() == 0);
    CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(cut->body), wordNumbers(cut->body)) == numbersBelow(Tokens));
}

SCENARIO("An entry host is killed while it serves a stream")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    WHEN("the host is killed without a reclaim notice")
    {
        fleet.entry(0).process->signal(SIGKILL);
        CHECK_FALSE(stream.awaitEnd());
        THEN("the peer with the replica resumes the stream and the caller gets the complete answer")
        {
            const std::string body = stream.bodySoFar();
            CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(body), wordNumbers(body)) == numbersBelow(Tokens));
        }
    }
    WHEN("the host is killed after a reclaim notice, before the time given in the notice has passed")
    {
        sendReclaimNotice(fleet, "entry-1", 60'000);
        awaitCondition("the host to receive the reclaim notice", [&] { return firstEventOf(fleet, 0, EventKind::ReclaimNotice).has_value(); });
        fleet.entry(0).process->signal(SIGKILL);
        CHECK_FALSE(stream.awaitEnd());
        THEN("the peer with the replica resumes the stream and the caller gets the complete answer")
        {
            const std::string body = stream.bodySoFar();
            CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(body), wordNumbers(body)) == numbersBelow(Tokens));
        }
    }
}
