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

/// A caller that comes back through any of @p hosts until it has the whole answer; gives the numbers of all words it saw.
std::vector<int> resumeUntilComplete(Fleet &fleet, const std::vector<std::size_t> &hosts, const std::string &id, std::vector<int> words)
{
    std::size_t next = 0;
    awaitCondition("the whole answer to " + id, [&] {
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

/// Waits until the stream has come some way and a peer of the first host keeps a copy of each of its @p records requests.
void awaitStreamReplicated(Fleet &fleet, PendingExchange &stream, int records)
{
    stream.awaitText("-20 ");
    awaitCondition("the copies", [&] {
        return fleet.operatorGet(1, "/v1/status")["replica_records"].asInt() + fleet.operatorGet(2, "/v1/status")["replica_records"].asInt() == records;
    });
}

}

SCENARIO("An entry host is reclaimed while a stream runs and a caller waits")
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

    WHEN("the callers come back through the hosts that are left")
    {
        const std::vector<int> streamed = resumeUntilComplete(fleet, {1, 2}, requestId(cut->body), wordNumbers(cut->body));
        const std::string id(refused->headers.find("Rosemaryshift-Request").value());
        const std::vector<int> whole = resumeUntilComplete(fleet, {2, 1}, id, {});
        THEN("they get the whole answers, without a lost or doubled token")
        {
            CHECK(streamed == numbersBelow(Tokens));
            CHECK(whole == numbersBelow(Tokens));
        }
    }
}

SCENARIO("An entry host, its zone's engine and then its successor are reclaimed")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    fleet.publishHosts({}, {{"engine-1", 1'500}, {"service-1", 1'500}});
    sendReclaimNotice(fleet, "entry-1", 1'000);
    std::size_t successor = 0;
    awaitCondition("the successor", [&] {
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

SCENARIO("An entry host is stopped and then reclaimed")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    fleet.entry(0).process->signal(SIGTERM);
    awaitCondition("the closed listener", [&] { return !tryExchange(fleet.entry(0).callers, Fleet::callerRequest("GET", "/v1/models")); });
    sendReclaimNotice(fleet, "entry-1", 1'000);
    const std::optional<http::Response> cut = stream.awaitEnd();
    REQUIRE(cut);
    CHECK_THAT(cut->body, Catch::Contains("event: moved"));
    CHECK(fleet.entry(0).process->awaitExit() == 0);
    CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(cut->body), wordNumbers(cut->body)) == numbersBelow(Tokens));
}

SCENARIO("An entry host dies while a stream runs")
{
    Fleet fleet(threeZones());
    PendingExchange stream(fleet.entry(0).callers, plan(true));
    awaitStreamReplicated(fleet, stream, 1);
    WHEN("it is killed without a notice")
    {
        fleet.entry(0).process->signal(SIGKILL);
        CHECK_FALSE(stream.awaitEnd());
        THEN("its replica host goes on and the caller gets the whole answer")
        {
            const std::string body = stream.bodySoFar();
            CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(body), wordNumbers(body)) == numbersBelow(Tokens));
        }
    }
    WHEN("it is killed in the middle of a reclaim")
    {
        sendReclaimNotice(fleet, "entry-1", 60'000);
        awaitCondition("the notice", [&] { return firstEventOf(fleet, 0, EventKind::ReclaimNotice).has_value(); });
        fleet.entry(0).process->signal(SIGKILL);
        CHECK_FALSE(stream.awaitEnd());
        THEN("its replica host goes on and the caller gets the whole answer")
        {
            const std::string body = stream.bodySoFar();
            CHECK(resumeUntilComplete(fleet, {1, 2}, requestId(body), wordNumbers(body)) == numbersBelow(Tokens));
        }
    }
}
