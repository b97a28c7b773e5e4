#include "base/text.h"
#include "support/fleet.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

/// Returns a template that allows one request in flight and none queued.
std::string templateWithLowLimits()
{
    return "workspace = \"yard\"\nkey_sha256 = [\"" + sha256Hex(Fleet::CallerKey)
        + "\"]\n[limits]\nrequests_in_flight = 1\nrequests_queued = 0\n[[models]]\nname = \"yard-small\"\n[[services]]\nname = \"dispatch\"\n";
}

FleetOptions fleetWithLowLimits()
{
    FleetOptions options;
    options.zones = {"eger"};
    options.templateText = templateWithLowLimits();
    options.engineSettings = "per_token_us = 20000\nfirst_token_us = 1000\n";
    return options;
}

}

SCENARIO("Each refusal states whether the request ran and when to retry")
{
    Fleet fleet(fleetWithLowLimits());
    const http::Endpoint callers = fleet.entry(0).callers;
    const http::Request question = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", false, 3));
    const auto recordExchange = [&](const std::string &name, const http::Request &request) {
        GoldenSession golden(name);
        golden.addExchange(request, exchange(callers, request));
        golden.compare();
    };
    GIVEN("a workspace whose limit of one request in flight is reached")
    {
        PendingExchange other(callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "other", true, 400)));
        other.awaitText("-1 ");
        THEN("one more request is refused as over the limit")
        {
            recordExchange("refusedoverlimit", question);
        }
    }
    GIVEN("a host list without upstreams")
    {
        fleet.publishHosts({"engine-1", "service-1"});
        awaitCondition("the host to list no upstreams", [&] { return fleet.operatorGet(0, "/v1/status")["upstreams"].empty(); });
        THEN("the request is refused as not run")
        {
            recordExchange("refusednoupstream", question);
        }
    }
    GIVEN("an engine that rejects the request as invalid")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "rejecting");
        THEN("the caller gets the engine's error, and the request is not retried")
        {
            recordExchange("refusedbyupstream", question);
            CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["declined"] == 1);
        }
    }
    GIVEN("an engine whose every answer belongs to another request")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "crossed");
        THEN("the request fails after the permitted number of attempts")
        {
            http::Request plan = question;
            plan.headers.add("Rosemaryshift-Class", "plan");
            recordExchange("refusedattemptsfailed", plan);
            CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 3);
        }
    }
    GIVEN("an engine that sends no answer")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "silent");
        http::Request hurried = question;
        hurried.headers.add("Rosemaryshift-Deadline-Ms", "300");
        THEN("the request is refused when its deadline has passed")
        {
            recordExchange("refuseddeadline", hurried);
        }
    }
    GIVEN("a service that runs a booking and whose answer is lost")
    {
        Fleet::setFailureMode(fleet.service(0).endpoint, "lost_answer");
        http::Request booking = Fleet::callerRequest("POST", "/services/dispatch/pickups", "crate 7");
        booking.headers.add("Idempotency-Key", "pickup-7");
        THEN("the caller is told that the outcome is unknown, and the booking has run once")
        {
            recordExchange("refusedunknown", booking);
            CHECK(Fleet::standinCounters(fleet.service(0).endpoint)["keys"]["pickup-7"] == 1);
        }
    }
}
