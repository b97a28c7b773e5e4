#include "base/json.h"
#include "support/answers.h"
#include "support/fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <memory>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr int Tokens = 120;
constexpr int Streams = 6;
constexpr int Bookings = 3;

/// Returns the template of workspace "yard" with a limit of 8 requests in flight, which is divided among the entry hosts, so that
/// further requests wait in the queue of their host.
std::string templateWithLowLimit()
{
    std::string text = yardTemplate();
    const std::string wide = "requests_in_flight = 120";
    return text.replace(text.find(wide), wide.size(), "requests_in_flight = 8");
}

bool isAcceptedPlan(const timeline::TimelineEvent &event)
{
    return event.kind == timeline::EventKind::RequestAccepted && event.fields.detail.starts_with("plan");
}

http::Request booking(int number)
{
    http::Request request = Fleet::callerRequest("POST", "/services/dispatch/pickups", "crate");
    request.headers.add("Idempotency-Key", "pickup-" + std::to_string(number));
    return request;
}

}

SCENARIO("A host is stopped twice while streams, queued plans and bookings are in progress")
{
    FleetOptions options;
    options.zones = {"eger", "miskolc"};
    options.engineSettings = "first_token_us = 1000\nper_token_us = 5000\n";
    options.serviceSettings = "work_us = 500000\n";
    options.templateText = templateWithLowLimit();
    Fleet fleet(options);
    EntryProcess &host = fleet.entry(0);
    const http::Request plan = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "care", true, Tokens));

    std::vector<std::unique_ptr<PendingExchange>> bookings;
    for (int i = 0; i < Bookings; ++i) {
        bookings.push_back(std::make_unique<PendingExchange>(host.callers, booking(i)));
    }
    awaitCondition(
        "the services to receive all bookings",
        [&] {
            return Fleet::standinCounters(fleet.service(0).endpoint)["calls"].asInt() + Fleet::standinCounters(fleet.service(1).endpoint)["calls"].asInt()
                == Bookings;
        },
        [&] {
            std::string state = toText(Fleet::standinCounters(fleet.service(0).endpoint)) + toText(Fleet::standinCounters(fleet.service(1).endpoint));
            for (const std::unique_ptr<PendingExchange> &pending : bookings) {
                state += "\nanswer: " + pending->bodySoFar();
            }
            for (const timeline::TimelineEvent &event : fleet.events(0)) {
                state += "\n" + std::string(timeline::name(event.kind)) + " " + event.fields.detail;
            }
            return state;
        });
    std::vector<std::unique_ptr<PendingExchange>> streams;
    for (int i = 0; i < Streams; ++i) {
        streams.push_back(std::make_unique<PendingExchange>(host.callers, plan));
    }
    awaitCondition("the host to accept all plan requests", [&] {
        const std::vector<timeline::TimelineEvent> events = fleet.events(0);
        return std::ranges::count_if(events, isAcceptedPlan) == Streams;
    });

    host.process->signal(SIGTERM);
    host.process->signal(SIGTERM);
    awaitCondition("the stopping host to close its callers' listener", [&] { return !tryExchange(host.callers, Fleet::callerRequest("GET", "/v1/models")); });
    CHECK(exchange(fleet.entry(1).callers, Fleet::callerRequest("GET", "/services/dispatch/manifests")).status == 200);

    for (const std::unique_ptr<PendingExchange> &pending : bookings) {
        const std::optional<http::Response> answer = pending->awaitEnd();
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK_THAT(answer->body, Catch::Contains("\"run\":1"));
    }
    for (const std::unique_ptr<PendingExchange> &pending : streams) {
        const std::optional<http::Response> answer = pending->awaitEnd();
        REQUIRE(answer);
        CHECK(wordNumbers(answer->body) == numbersBelow(Tokens));
        CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
    }
    CHECK(host.process->awaitExit() == 0);
}
