#include "http/tests/polledserver.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;
namespace net = boost::asio;

namespace {

constexpr std::string_view WholeRequest = "GET / HTTP/1.1\r\n\r\n";
/// Timeout of the server in these tests.
constexpr std::chrono::milliseconds Timeout{60};
/// A test's own timer of this length, started after the server's, is handled before it.
constexpr std::chrono::milliseconds ShorterThanTimeout{20};
/// After this time both have expired.
constexpr std::chrono::milliseconds LongerThanTimeout{100};

net::awaitable<void> answer(Request request, IResponseWriter &writer)
{
    Response response;
    response.body = "whole:" + request.body;
    co_await writer.respond(std::move(response));
}

/// Has @p bytes arrive after the event loop has noticed that the server's timeout is over, and before it handles that.
void sendBesideTimeout(PolledServer &server, net::ip::tcp::socket &caller, std::string_view bytes)
{
    server.runBeforeTimers(ShorterThanTimeout, [&caller, bytes] { send(caller, bytes); });
    std::this_thread::sleep_for(LongerThanTimeout);
}

}

// Guards against an idle timeout that closes a connection whose next request has arrived: the event loop was late and handled the timer first.
SCENARIO("A late event loop answers a request that arrived beside the idle timeout")
{
    ServerLimits limits;
    limits.idleTimeout = Timeout;
    PolledServer server(limits, answer);
    net::ip::tcp::socket caller = server.connect();
    REQUIRE(server.pollUntil([&server] { return server.server().connections() == 1; }));

    GIVEN("a connection that was served before")
    {
        send(caller, WholeRequest);
        REQUIRE_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
        server.poll();
        WHEN("its next request arrives beside the timeout")
        {
            sendBesideTimeout(server, caller, WholeRequest);
            CHECK_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
        }
        WHEN("its next request arrives before the event loop runs again")
        {
            std::this_thread::sleep_for(LongerThanTimeout);
            send(caller, WholeRequest);
            CHECK_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
        }
        WHEN("nothing arrives")
        {
            std::this_thread::sleep_for(LongerThanTimeout);
            THEN("the connection is closed")
            {
                CHECK(server.receive(caller, {}).empty());
                CHECK(server.pollUntil([&server] { return server.server().connections() == 0; }));
            }
        }
    }
    GIVEN("a connection whose first request arrives beside the timeout")
    {
        server.poll();
        sendBesideTimeout(server, caller, WholeRequest);
        CHECK_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
    }
}

// Guards against 408 for a request that has arrived whole: the event loop was late and handled the timer first.
SCENARIO("A late event loop answers a request whose rest arrived beside the timeout for it")
{
    ServerLimits limits;
    limits.headerTimeout = Timeout;
    limits.bodyTimeout = Timeout;
    PolledServer server(limits, answer);
    net::ip::tcp::socket caller = server.connect();

    GIVEN("a header that lacks its end")
    {
        send(caller, "GET / HTTP/1.1\r\n");
        server.poll();
        WHEN("the rest arrives beside the timeout")
        {
            sendBesideTimeout(server, caller, "\r\n");
            CHECK_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
        }
        WHEN("bytes arrive beside the timeout, but not the end")
        {
            sendBesideTimeout(server, caller, "X: 1\r\n");
            CHECK_THAT(server.receive(caller, "request_timeout"), Catch::Contains("408"));
        }
    }
    GIVEN("a body that lacks its end")
    {
        send(caller, "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nfirst");
        server.poll();
        WHEN("the rest arrives beside the timeout")
        {
            sendBesideTimeout(server, caller, "-rest");
            CHECK_THAT(server.receive(caller, "whole:first-rest"), Catch::Contains("200 OK"));
        }
    }
}

// Guards against a stop that resets an idle connection whose next request has arrived.
SCENARIO("A stopping server answers a request that arrived before its connection was closed as idle")
{
    PolledServer server({}, answer);
    net::ip::tcp::socket caller = server.connect();
    send(caller, WholeRequest);
    REQUIRE_THAT(server.receive(caller, "whole:"), Catch::Contains("200 OK"));
    server.poll();

    WHEN("the request arrives in the turn in which the server stops")
    {
        net::post(server.context(), [&caller] { send(caller, WholeRequest); });
        server.server().stopAccepting();
        THEN("it is answered, and the connection is closed")
        {
            CHECK_THAT(server.receive(caller, {}), Catch::Contains("200 OK") && Catch::Contains("Connection: close"));
        }
    }
    WHEN("no request arrives")
    {
        server.server().stopAccepting();
        CHECK(server.receive(caller, {}).empty());
    }
}
