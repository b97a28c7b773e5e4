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

/// Number of the engine that serves the only request, of two.
std::size_t servingEngine(Fleet &fleet)
{
    return Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 1 ? 0 : 1;
}

}

SCENARIO("A connection to an upstream falls silent while new ones work")
{
    Fleet fleet(twoEngines());
    PendingExchange stream(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care", true, Tokens)));
    stream.awaitText("-5 ");
    const std::size_t busy = servingEngine(fleet);
    const http::Endpoint engine = fleet.engine(busy).endpoint;
    const http::Endpoint other = fleet.engine(1 - busy).endpoint;

    WHEN("only the open connection is lost")
    {
        Fleet::setFailureMode(engine, "silent_open");
        THEN("the stream goes on from the same upstream, without a lost or doubled token")
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
    WHEN("the upstream is frozen, so that a new connection brings nothing either")
    {
        fleet.engine(busy).process->signal(SIGSTOP);
        awaitCondition("the other upstream", [&] { return Fleet::standinCounters(other)["started"] == 1; });
        fleet.engine(busy).process->signal(SIGCONT);
        THEN("the stream goes on elsewhere and the late tokens of the thawed one are not taken")
        {
            const std::optional<http::Response> answer = stream.awaitEnd();
            REQUIRE(answer);
            CHECK(wordNumbers(answer->body) == numbersBelow(Tokens));
            CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
        }
    }
}

SCENARIO("The links to the platform fall silent while new ones work")
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
        THEN("every host learns of both over new links")
        {
            for (std::size_t i = 0; i < fleet.entries(); ++i) {
                awaitCondition("the second revision", [&] { return fleet.operatorGet(i, "/v1/status")["templates"][0]["revision"] == 2; });
                awaitCondition("the leaving upstream", [&] {
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
