#include "http/tests/polledserver.h"

#include <boost/asio/socket_base.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;
namespace net = boost::asio;

namespace {

/// Ends the request in the way that its target names.
net::awaitable<void> handle(Request request, IResponseWriter &writer)
{
    writer.setRequestId("attempt-1");
    if (request.target == "/silent") {
        co_return;
    }
    if (request.target == "/cut") {
        Headers headers;
        co_await writer.begin(200, std::move(headers));
        co_await writer.write("half");
        writer.abort();
        co_return;
    }
    if (request.target == "/throw") {
        throw std::runtime_error("no such route");
    }
    if (request.target == "/throw-midway") {
        Headers headers;
        co_await writer.begin(200, std::move(headers));
        co_await writer.write("half");
        throw std::runtime_error("no such route");
    }
    if (request.target == "/gone" && writer.detectCallerGone()) {
        co_return;
    }
    Response response;
    response.body = "whole";
    co_await writer.respond(std::move(response));
}

}

// Guards against a connection that ends with a request read and no complete answer, without a trace of the cause.
SCENARIO("A request that gets no complete answer is reported with its cause")
{
    PolledServer server({}, handle);
    net::ip::tcp::socket caller = server.connect();

    GIVEN("a request that is answered")
    {
        send(caller, "GET / HTTP/1.1\r\n\r\n");
        REQUIRE_THAT(server.receive(caller, "whole"), Catch::Contains("200"));
        THEN("nothing is reported, also when the caller closes the connection afterwards")
        {
            caller.close();
            REQUIRE(server.pollUntil([&server] { return server.server().connections() == 0; }));
            CHECK(server.reports().empty());
        }
    }
    GIVEN("a caller that closes the connection in the middle of its request")
    {
        send(caller, "GET / HTTP/1.1\r\nX:");
        caller.close();
        REQUIRE(server.pollUntil([&server] { return !server.reports().empty(); }));
        CHECK(server.reports().front().cause == UnansweredCause::CallerLeft);
        CHECK_FALSE(server.reports().front().received);
        CHECK(server.reports().front().bytesRead == 18);
    }
    GIVEN("a caller that closes the connection before its request is handled")
    {
        send(caller, "GET /gone HTTP/1.1\r\n\r\n");
        caller.close();
        REQUIRE(server.pollUntil([&server] { return !server.reports().empty(); }));
        CHECK(server.reports().front().cause == UnansweredCause::CallerLeft);
        CHECK(server.reports().front().received);
        CHECK(server.reports().front().id == "attempt-1");
    }
    GIVEN("a handler that aborts its answer")
    {
        send(caller, "GET /cut HTTP/1.1\r\n\r\n");
        REQUIRE(server.pollUntil([&server] { return !server.reports().empty(); }));
        CHECK(server.reports().front().cause == UnansweredCause::Aborted);
        CHECK(server.reports().front().answerBegun);
    }
    GIVEN("a handler that returns without an answer")
    {
        send(caller, "GET /silent HTTP/1.1\r\n\r\n");
        REQUIRE(server.pollUntil([&server] { return !server.reports().empty(); }));
        CHECK(server.reports().front().cause == UnansweredCause::NotAnswered);
        CHECK_FALSE(server.reports().front().answerBegun);
    }
}

// Guards against a handler that ends without an answer, or with an exception: its caller got none, and the connection was counted as open for ever.
SCENARIO("A handler that does not answer leads to an answer of the server or to a cut stream, and is reported")
{
    PolledServer server({}, handle);
    net::ip::tcp::socket caller = server.connect();
    REQUIRE(server.pollUntil([&server] { return server.server().connections() == 1; }));

    GIVEN("a handler that throws before it answers")
    {
        send(caller, "GET /throw HTTP/1.1\r\n\r\n");
        THEN("the caller gets an answer that does not say that the request was not run")
        {
            const std::string answer = server.receive(caller, {});
            CHECK_THAT(answer, Catch::Contains("500 Internal Server Error") && Catch::Contains("internal_error"));
            CHECK_THAT(answer, !Catch::Contains("Rosemaryshift-Run"));
        }
        THEN("it is reported once, and the connection is no longer counted")
        {
            REQUIRE(server.pollUntil([&server] { return server.server().connections() == 0; }));
            REQUIRE(server.reports().size() == 1);
            CHECK(server.reports().front().cause == UnansweredCause::HandlerFailed);
            CHECK(server.reports().front().detail == "no such route");
            CHECK(server.reports().front().id == "attempt-1");
        }
    }
    GIVEN("a handler that throws in the middle of a stream")
    {
        send(caller, "GET /throw-midway HTTP/1.1\r\n\r\n");
        THEN("the stream ends without its last chunk, and this is reported")
        {
            CHECK_THAT(server.receive(caller, {}), Catch::EndsWith("half\r\n"));
            REQUIRE(server.reports().size() == 1);
            CHECK(server.reports().front().cause == UnansweredCause::HandlerFailed);
            CHECK(server.reports().front().answerBegun);
        }
    }
    GIVEN("a handler that returns without an answer")
    {
        send(caller, "GET /silent HTTP/1.1\r\n\r\n");
        THEN("the caller gets an answer, and this is reported once")
        {
            CHECK_THAT(server.receive(caller, {}), Catch::Contains("500 Internal Server Error"));
            REQUIRE(server.reports().size() == 1);
            CHECK(server.reports().front().cause == UnansweredCause::NotAnswered);
        }
    }
}
