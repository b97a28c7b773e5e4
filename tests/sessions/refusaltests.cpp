#include "base/text.h"
#include "support/fleet.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

/// One place for each host of one zone, and nobody may wait.
std::string narrowTemplate()
{
    return "workspace = \"yard\"\nkey_sha256 = [\"" + sha256Hex(Fleet::CallerKey)
        + "\"]\n[limits]\nrequests_in_flight = 1\nrequests_queued = 0\n[[models]]\nname = \"yard-small\"\n[[services]]\nname = \"dispatch\"\n";
}

FleetOptions narrowFleet()
{
    FleetOptions options;
    options.zones = {"eger"};
    options.templateText = narrowTemplate();
    options.engineSettings = "per_token_us = 20000\nfirst_token_us = 1000\n";
    return options;
}

}

SCENARIO("Each refusal says what ran and when to come back")
{
    Fleet fleet(narrowFleet());
    const http::Endpoint callers = fleet.entry(0).callers;
    const http::Request question = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", false, 3));
    const auto recordExchange = [&](const std::string &name, const http::Request &request) {
        GoldenSession golden(name);
        golden.addExchange(request, exchange(callers, request));
        golden.compare();
    };
    GIVEN("a workspace whose only place is taken")
    {
        PendingExchange other(callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "other", true, 400)));
        other.awaitText("-1 ");
        THEN("one more request is over the limit")
        {
            recordExchange("refusedoverlimit", question);
        }
    }
    GIVEN("no upstream in the list")
    {
        fleet.publishHosts({"engine-1", "service-1"});
        awaitCondition("an empty list of upstreams", [&] { return fleet.operatorGet(0, "/v1/status")["upstreams"].empty(); });
        THEN("the request is refused as not run")
        {
            recordExchange("refusednoupstream", question);
        }
    }
    GIVEN("an engine that finds the request at fault")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "rejecting");
        THEN("its error is the answer, and nothing is tried again")
        {
            recordExchange("refusedbyupstream", question);
            CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["declined"] == 1);
        }
    }
    GIVEN("an engine whose every answer belongs to another request")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "crossed");
        THEN("the request is given up after the permitted attempts")
        {
            http::Request plan = question;
            plan.headers.add("Rosemaryshift-Class", "plan");
            recordExchange("refusedattemptsfailed", plan);
            CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 3);
        }
    }
    GIVEN("an engine that says nothing")
    {
        Fleet::setFailureMode(fleet.engine(0).endpoint, "silent");
        http::Request hurried = question;
        hurried.headers.add("Rosemaryshift-Deadline-Ms", "300");
        THEN("the deadline ends the request")
        {
            recordExchange("refuseddeadline", hurried);
        }
    }
    GIVEN("a service whose answer is lost after it acted")
    {
        Fleet::setFailureMode(fleet.service(0).endpoint, "lost_answer");
        http::Request booking = Fleet::callerRequest("POST", "/services/dispatch/pickups", "crate 7");
        booking.headers.add("Idempotency-Key", "pickup-7");
        THEN("the outcome of a booking is unknown and it ran once")
        {
            recordExchange("refusedunknown", booking);
            CHECK(Fleet::standinCounters(fleet.service(0).endpoint)["keys"]["pickup-7"] == 1);
        }
    }
}
