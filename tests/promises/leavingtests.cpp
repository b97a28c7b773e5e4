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

constexpr int Tokens = 200;
constexpr int Questions = 20;

http::Request question(int number)
{
    return Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "question " + std::to_string(number), false, 2));
}

bool hasSeenLeaving(Fleet &fleet, std::size_t entry, const std::string &upstream)
{
    const std::vector<TimelineEvent> events = fleet.events(entry);
    return std::ranges::any_of(events,
                               [&](const TimelineEvent &event) { return event.kind == EventKind::UpstreamLeaving && event.fields.upstream == upstream; });
}

}

SCENARIO("An upstream is leaving while the platform's list does not report it")
{
    FleetOptions options;
    options.zones = {"eger", "miskolc"};
    Fleet fleet(options);
    const http::Endpoint engine = fleet.engine(0).endpoint;
    for (const std::string state : {"is out of date", "cannot be read"}) {
        GIVEN("a platform list that " + state)
        {
            if (state == "is out of date") {
                REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/list_frozen", R"({"frozen":true})")).status == 200);
            } else {
                Fleet::setFailureMode(fleet.platform(), "down");
            }
            fleet.publishHosts({}, {{"engine-1", 30'000}});
            WHEN("the upstream declines a request of one host because it is leaving")
            {
                Fleet::setFailureMode(engine, "leaving", "\"leaves_in_ms\":30000");
                int asked = 0;
                awaitCondition("the upstream to decline a request", [&] {
                    CHECK(exchange(fleet.entry(0).callers, question(asked++)).status == 200);
                    return Fleet::standinCounters(engine)["declined"] == 1;
                });
                awaitCondition("the host to mark the upstream as leaving", [&] { return hasSeenLeaving(fleet, 0, "engine-1"); });
                awaitCondition("the peer, which sent no request to the upstream, to mark it as leaving", [&] { return hasSeenLeaving(fleet, 1, "engine-1"); });
                THEN("no host sends another request to the leaving upstream, and every request is served")
                {
                    for (int i = 0; i < Questions; ++i) {
                        CHECK(exchange(fleet.entry(static_cast<std::size_t>(i % 2)).callers, question(i)).status == 200);
                    }
                    CHECK(Fleet::standinCounters(engine)["declined"] == 1);
                }
            }
        }
    }
}

SCENARIO("An upstream announces that it is leaving while it serves a stream")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.enginesPerZone = 2;
    options.engineSettings = "first_token_us = 1000\nper_token_us = 10000\n";
    Fleet fleet(options);
    PendingExchange stream(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care", true, Tokens)));
    stream.awaitText("-9 ");
    const std::size_t busy = Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 1 ? 0 : 1;
    const auto startedElsewhere = [&] { return Fleet::standinCounters(fleet.engine(1 - busy).endpoint)["started"].asInt(); };
    const auto checkComplete = [&] {
        const std::optional<http::Response> answer = stream.awaitEnd();
        REQUIRE(answer);
        CHECK(wordNumbers(answer->body) == numbersBelow(Tokens));
        CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
    };

    WHEN("the upstream stays longer than the stream needs")
    {
        fleet.publishHosts({}, {{fleet.engine(busy).name, 600'000}});
        THEN("the stream finishes on that upstream")
        {
            checkComplete();
            CHECK(startedElsewhere() == 0);
        }
    }
    WHEN("the upstream leaves before the stream can finish")
    {
        fleet.publishHosts({}, {{fleet.engine(busy).name, 1'200}});
        awaitCondition("the stream to start on the other upstream", [&] { return startedElsewhere() == 1; });
        fleet.engine(busy).process->signal(SIGKILL);
        THEN("the stream is moved before the upstream is gone, and the timeline states the tokens to recompute")
        {
            checkComplete();
            const std::vector<TimelineEvent> events = fleet.events(0);
            const std::vector<TimelineEvent>::const_iterator moved
                = std::ranges::find_if(events, [](const TimelineEvent &event) { return event.kind == EventKind::RequestMoved; });
            REQUIRE(moved != events.end());
            CHECK_THAT(moved->fields.detail, Catch::Contains("to recompute"));
        }
    }
}
