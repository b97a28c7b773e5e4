#include "support/fleet.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

SCENARIO("Questions, plans, lookups and bookings are served end to end as in the golden file")
{
    Fleet fleet;
    GoldenSession golden("served");
    const http::Endpoint callers = fleet.entry(0).callers;
    const auto recordExchange = [&](const std::string &what, const http::Request &request) {
        golden.addComment(what);
        const http::Response response = exchange(callers, request);
        golden.addExchange(request, response);
        return response;
    };

    recordExchange("models of the workspace", Fleet::callerRequest("GET", "/v1/models"));
    recordExchange("streamed question", Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", true, 3)));
    const http::Response plan
        = recordExchange("unstreamed plan", Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "route for Monday", false, 5)));
    recordExchange("the plan again, by its id", Fleet::callerRequest("GET", "/v1/requests/" + std::string(plan.headers.find("Rosemaryshift-Request").value())));
    recordExchange("lookup", Fleet::callerRequest("GET", "/services/dispatch/manifests?day=1"));
    http::Request booking = Fleet::callerRequest("POST", "/services/dispatch/pickups", "crate 7");
    recordExchange("booking without a key", booking);
    booking.headers.add("Idempotency-Key", "pickup-7");
    recordExchange("booking with a key", booking);
    recordExchange("unknown model", Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("nobody", "x", false, 1)));
    recordExchange("malformed JSON", Fleet::callerRequest("POST", "/v1/chat/completions", "{"));
    recordExchange("unknown service", Fleet::callerRequest("GET", "/services/nobody/x"));
    recordExchange("unknown request", Fleet::callerRequest("GET", "/v1/requests/nobody"));
    recordExchange("wrong key", makeRequest("GET", "/v1/models"));
    golden.compare();
}

SCENARIO("A caller reattaches to a completed stream through another host")
{
    Fleet fleet;
    const http::Request request = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "q", true, 5));
    const http::Response first = exchange(fleet.entry(0).callers, request);
    const std::string id(first.headers.find("Rosemaryshift-Request").value());
    http::Request again = Fleet::callerRequest("GET", "/v1/requests/" + id);
    again.headers.add("Last-Event-ID", "3");
    awaitCondition("the second host to find the request", [&] { return exchange(fleet.entry(1).callers, again).status == 200; });
    THEN("the caller gets the events after the last one that it has received")
    {
        const http::Response rest = exchange(fleet.entry(1).callers, again);
        CHECK(rest.body == first.body.substr(first.body.find("id: 4")));
    }
    THEN("a caller without the workspace's key is refused")
    {
        again.headers = {};
        CHECK(exchange(fleet.entry(1).callers, again).status == 401);
    }
}

SCENARIO("A caller disconnects in the middle of a stream")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 20000\n";
    Fleet fleet(options);
    const http::Request request = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "long", true, 400));
    PendingExchange pending(fleet.entry(0).callers, request);
    pending.awaitText("-2 ");
    WHEN("the caller closes its connection")
    {
        pending.abandon();
        THEN("the attempt at the upstream is cancelled and the host keeps serving")
        {
            awaitCondition("the engine to count one cancelled request", [&] { return Fleet::standinCounters(fleet.engine(0).endpoint)["cancelled"] == 1; });
            CHECK(exchange(fleet.entry(0).callers, Fleet::callerRequest("GET", "/v1/models")).status == 200);
        }
    }
}

SCENARIO("A host that gets SIGTERM twice finishes its running stream and exits")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 10000\n";
    Fleet fleet(options);
    PendingExchange pending(fleet.entry(0).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "long", true, 60)));
    pending.awaitText("-0 ");
    fleet.entry(0).process->signal(SIGTERM);
    fleet.entry(0).process->signal(SIGTERM);
    const std::optional<http::Response> response = pending.awaitEnd();
    REQUIRE(response);
    CHECK_THAT(response->body, Catch::EndsWith("data: [DONE]\n\n"));
    CHECK(fleet.entry(0).process->awaitExit() == 0);
}
