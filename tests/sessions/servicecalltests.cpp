#include "base/json.h"
#include "support/fleet.h"
#include "support/golden.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

std::string rawHeader(const std::string &firstLine, const std::string &more = {})
{
    return firstLine + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer yard-key\r\n" + more + "\r\n";
}

FleetOptions oneZone()
{
    FleetOptions options;
    options.zones = {"eger"};
    return options;
}

}

SCENARIO("Plain services receive calls of every method, and their bodies pass in both directions")
{
    Fleet fleet(oneZone());
    const http::Endpoint callers = fleet.entry(0).callers;
    GoldenSession golden("services");
    const auto recordExchange = [&](const std::string &method, const std::string &target, const std::string &body, const std::string &key) {
        http::Request request = Fleet::callerRequest(method, target, body);
        if (!key.empty()) {
            request.headers.add("Idempotency-Key", key);
        }
        const http::Response response = exchange(callers, request);
        golden.addExchange(request, response);
        return response;
    };
    GIVEN("a call of each method")
    {
        golden.addComment("calls that may be repeated");
        recordExchange("GET", "/services/dispatch/manifests/7?day=1", "", "");
        CHECK(recordExchange("HEAD", "/services/dispatch/manifests/7", "", "").body.empty());
        recordExchange("OPTIONS", "/services/dispatch/manifests", "", "");
        recordExchange("PUT", "/services/dispatch/manifests/7", "crate", "");
        recordExchange("DELETE", "/services/dispatch/manifests/7", "", "");
        recordExchange("POST", "/services/dispatch/search", "tube cells", "");
        golden.addComment("calls that may not be repeated");
        recordExchange("POST", "/services/dispatch/pickups", "crate 7", "pickup-7");
        recordExchange("PATCH", "/services/dispatch/pickups/7", "crate 8", "change-7");
        recordExchange("PATCH", "/services/dispatch/pickups/7", "crate 8", "");
        THEN("each call and its answer match the golden file")
        {
            golden.compare();
        }
    }
    GIVEN("a request body of 1 MiB")
    {
        constexpr std::size_t Megabyte = 1024 * 1024;
        const http::Response response = exchange(callers, Fleet::callerRequest("PUT", "/services/dispatch/photos/7", std::string(Megabyte, 'x')));
        THEN("the service receives the complete body")
        {
            CHECK(response.status == 200);
            CHECK_THAT(response.body, Catch::Contains("\"bytes\":" + std::to_string(Megabyte)));
        }
    }
}

SCENARIO("Callers use connections in the ways that HTTP/1.0 and HTTP/1.1 permit")
{
    Fleet fleet(oneZone());
    RawConnection connection(fleet.entry(0).callers);
    GIVEN("a caller that pipelines two requests")
    {
        connection.send(rawHeader("GET /services/dispatch/first") + rawHeader("GET /services/dispatch/second"));
        THEN("both answers arrive in the order of the requests")
        {
            const std::string both = connection.awaitText("/second");
            CHECK(both.find("/first") < both.find("/second"));
        }
    }
    GIVEN("a caller that sends Expect: 100-continue and waits before it sends the body")
    {
        connection.send(rawHeader("PUT /services/dispatch/photos", "Expect: 100-continue\r\nContent-Length: 5\r\n"));
        connection.awaitText("HTTP/1.1 100 Continue\r\n\r\n");
        connection.send("photo");
        THEN("the host accepts the body")
        {
            connection.awaitText("\"bytes\":5");
        }
    }
    GIVEN("a caller that reuses a connection after a HEAD request")
    {
        connection.send(rawHeader("HEAD /services/dispatch/first"));
        connection.awaitText("\r\n\r\n");
        connection.send(rawHeader("GET /services/dispatch/second"));
        THEN("the second request is answered on the same connection")
        {
            connection.awaitText("/second");
        }
    }
    GIVEN("a caller that uses HTTP/1.0")
    {
        connection.send("GET /v1/models HTTP/1.0\r\nAuthorization: Bearer yard-key\r\n\r\n");
        THEN("the connection is closed after the answer")
        {
            CHECK_THAT(connection.awaitClose(), Catch::Contains("yard-small"));
        }
    }
}
