#include "support/fleet.h"
#include "support/golden.h"
#include "support/rawconnection.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

const std::string Authorization = "Host: test\r\nAuthorization: Bearer yard-key\r\n";

FleetOptions strictFleet()
{
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 2000\nfirst_token_us = 1000\n";
    options.callerSettings = "header_bytes = 2048\nbody_bytes = 4096\nheader_timeout_ms = 300\nbody_timeout_ms = 300\n";
    return options;
}

std::string postHeader(const std::string &more)
{
    return "POST /v1/chat/completions HTTP/1.1\r\n" + Authorization + more + "\r\n";
}

std::string deeplyNested()
{
    constexpr std::size_t Depth = 3'000;
    return R"({"model":"yard-small","messages":)" + std::string(Depth, '[');
}

}

SCENARIO("Invalid input gets an error and does not disturb other callers")
{
    Fleet fleet(strictFleet());
    const http::Endpoint callers = fleet.entry(0).callers;
    PendingExchange other(callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "other", true, 500)));
    other.awaitText("-1 ");

    GIVEN("callers that send oversized, incomplete or malformed HTTP requests")
    {
        GoldenSession golden("badbytes");
        const auto recordExchange = [&](const std::string &what, const std::string &bytes, bool finishes) {
            RawConnection connection(callers);
            connection.send(bytes);
            if (finishes) {
                connection.finishSending();
            }
            golden.addComment(what);
            golden.addLine(connection.awaitClose());
        };
        recordExchange(
            "a header larger than accepted", "GET /v1/models HTTP/1.1\r\n" + Authorization + "X-Long: " + std::string(4096, 'x') + "\r\n\r\n", false);
        recordExchange("a body announced larger than accepted", postHeader("Content-Length: 100000\r\n"), false);
        recordExchange("a body that grows larger than accepted",
                       postHeader("Transfer-Encoding: chunked\r\n") + "2000\r\n" + std::string(0x2000, 'x') + "\r\n0\r\n\r\n",
                       false);
        recordExchange("a header that never ends", "GET /v1/mod", false);
        recordExchange("a body that never ends", postHeader("Content-Length: 100\r\n") + "{", false);
        recordExchange("a header cut short is closed without an answer", "GET /v1/mod", true);
        recordExchange("a body cut short is closed without an answer", postHeader("Content-Length: 100\r\n") + "{", true);
        recordExchange("bytes that are not HTTP", "\x16\x03\x01 hello\r\n\r\n", false);
        recordExchange("two lengths that differ", postHeader("Content-Length: 2\r\nContent-Length: 3\r\n") + "{}", false);
        THEN("each gets an error or a closed connection, and the other caller gets the complete answer")
        {
            golden.compare();
            const std::optional<http::Response> answer = other.awaitEnd();
            REQUIRE(answer);
            CHECK_THAT(answer->body, Catch::EndsWith("data: [DONE]\n\n"));
        }
    }
    GIVEN("callers that send valid HTTP with invalid contents")
    {
        GoldenSession golden("badrequests");
        const auto recordExchange = [&](const std::string &what, const http::Request &request) {
            golden.addComment(what);
            golden.addExchange(request, exchange(callers, request));
        };
        const auto chat = [](const std::string &body) { return Fleet::callerRequest("POST", "/v1/chat/completions", body); };
        recordExchange("JSON cut short", chat(R"({"model":"yard-small","messages":[)"));
        recordExchange("JSON that is no object", chat("[]"));
        recordExchange("a model that is no text", chat(R"({"model":5,"messages":[{"role":"user","content":"x"}]})"));
        recordExchange("no messages", chat(R"({"model":"yard-small","messages":[]})"));
        recordExchange("a message without a role", chat(R"({"model":"yard-small","messages":["x"]})"));
        recordExchange("more than one choice", chat(R"({"model":"yard-small","n":2,"messages":[{"role":"user","content":"x"}]})"));
        recordExchange("an unknown model", chat(R"({"model":"nobody","messages":[{"role":"user","content":"x"}]})"));
        http::Request classed = chat(Fleet::chatBody("yard-small", "x", false, 1));
        classed.headers.add("Rosemaryshift-Class", "urgent");
        recordExchange("an unknown class", classed);
        http::Request hurried = chat(Fleet::chatBody("yard-small", "x", false, 1));
        hurried.headers.add("Rosemaryshift-Deadline-Ms", "soon");
        recordExchange("a deadline that is no number", hurried);
        recordExchange("an unknown path", Fleet::callerRequest("GET", "/v2/models"));
        recordExchange("a method that the path does not have", Fleet::callerRequest("DELETE", "/v1/models"));
        http::Request stranger = makeRequest("GET", "/v1/models");
        stranger.headers.add("Authorization", "Bearer somebody-else");
        recordExchange("a wrong key", stranger);
        THEN("each gets an error, none reaches an engine, and the other caller gets the complete answer")
        {
            golden.compare();
            CHECK(exchange(callers, chat(deeplyNested())).status == 400);
            REQUIRE(other.awaitEnd());
            CHECK(Fleet::standinCounters(fleet.engine(0).endpoint)["started"] == 1);
        }
    }
    GIVEN("an operator with a wrong token")
    {
        http::Request request = makeRequest("GET", "/v1/status");
        request.headers.add("Authorization", "Bearer somebody-else");
        THEN("status and timeline are refused while the health check is answered")
        {
            const http::Response answer = exchange(fleet.entry(0).operators, request);
            CHECK(answer.status == 401);
            CHECK_THAT(answer.body, Catch::Contains("invalid_token"));
            CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/timeline")).status == 401);
            CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/healthz")).status == 200);
        }
    }
}
