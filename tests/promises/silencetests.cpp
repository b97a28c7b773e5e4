#include "support/answers.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr int Tokens = 60;

FleetOptions twoEngines()
{
    FleetOptions options;
    options.zones = {"eger"};
    options.enginesPerZone = 2;
    options.engineSettings = "first_token_us = 1000\nper_token_us = 5000\n";
    options.entrySettings = "[upstreams]\nprogress_timeout_ms = 400\nfirst_byte_timeout_ms = 400\n";
    return options;
}

/// Returns the index, 0 or 1, of the engine that serves the only request.
std::size_t servingEngine(Fleet &fleet)
{
    return Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 1 ? 0 : 1;
}

}

SCENARIO("An open connection to an upstream delivers no more data and is not closed")
{
    Fleet fleet(twoEngines());
    PendingExchange stream(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care", true, Tokens)));
    stream.awaitText("-5 ");
    const std::size_t busy = servingEngine(fleet);
    const http::Endpoint engine = fleet.engine(busy).endpoint;
    const http::Endpoint other = fleet.engine(1 - busy).endpoint;

    WHEN("new connections to the same upstream work")
    {
        Fleet::setFailureMode(engine, "silent_open");
        THEN("the stream continues from the same upstream, without a lost or repeated token")
        {
            const std::optional<http::Response> answer = stream.awaitEnd();
            REQUIRE(answer);
            CHECK(wordNumbers(answer->body) == numbersBelow(Tokens));
            CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
            CHECK(Fleet::standinCounters(engine)["started"] == 2);
            CHECK(Fleet::standinCounters(engine)["tokens"] == Tokens);
            CHECK(Fleet::standinCounters(other)["started"] == 0);
        }
    }
    WHEN("the upstream is frozen, so that new connections deliver no data either")
    {
        fleet.engine(busy).process->signal(SIGSTOP);
        awaitCondition("the other upstream to start the request", [&] { return Fleet::standinCounters(other)["started"] == 1; });
        fleet.engine(busy).process->signal(SIGCONT);
        THEN("the stream continues from the other upstream, and late tokens of the first one are ignored once it continues")
        {
            const std::optional<http::Response> answer = stream.awaitEnd();
            REQUIRE(answer);
            CHECK(wordNumbers(answer->body) == numbersBelow(Tokens));
            CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
        }
    }
}

SCENARIO("Open connections to the platform deliver no more data while new ones work")
{
    FleetOptions options;
    options.zones = {"eger", "miskolc"};
    Fleet fleet(options);
    Fleet::setFailureMode(fleet.platform(), "silent_open");
    WHEN("a template is published and an upstream is listed as leaving")
    {
        std::string changed = yardTemplate();
        const std::string queue = "requests_queued = 120";
        changed.replace(changed.find(queue), queue.size(), "requests_queued = 110");
        REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", changed)["verdict"] == "accepted");
        fleet.publishHosts({}, {{"engine-1", 60'000}});
        THEN("every host learns of both over new connections")
        {
            for (std::size_t i = 0; i < fleet.entries(); ++i) {
                awaitCondition("the second template revision on every host",
                               [&] { return fleet.operatorGet(i, "/v1/status")["templates"][0]["revision"] == 2; });
                awaitCondition("every host to know that the upstream is leaving", [&] {
                    for (const timeline::TimelineEvent &event : fleet.events(i)) {
                        if (event.kind == timeline::EventKind::UpstreamLeaving) {
                            return true;
                        }
                    }
                    return false;
                });
            }
        }
    }
}
