#include "http/tests/polledserver.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

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

/// Answers after a pause during which the caller is watched; not if the caller is gone then.
net::awaitable<void> answerWatched(Request request, IResponseWriter &writer)
{
    writer.onCallerGone([] {});
    net::steady_timer delay(co_await net::this_coro::executor, ShorterThanTimeout);
    co_await delay.async_wait(net::use_awaitable);
    if (writer.callerGone()) {
        co_return;
    }
    co_await answer(std::move(request), writer);
}

/// Size of an answer that does not fit into the buffers of a connection.
constexpr std::size_t LargeBytes = 16 * 1024 * 1024;

net::awaitable<void> answerLarge(Request, IResponseWriter &writer)
{
    Response response;
    response.body.assign(LargeBytes, 'x');
    co_await writer.respond(std::move(response));
}

/// Reads what has arrived at @p caller, and returns the number of bytes.
std::size_t readArrived(net::ip::tcp::socket &caller)
{
    std::size_t total = 0;
    boost::system::error_code error;
    std::vector<char> bytes(64 * 1024);
    while (!error) {
        total += caller.read_some(net::buffer(bytes), error);
    }
    return total;
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

// Guards against a timeout that was over when its read completed, and cancels the operation after that one.
SCENARIO("A timeout that expires in the turn in which its read completes does not affect what follows")
{
    ServerLimits limits;

    GIVEN("a header whose rest arrives late, with a body to follow")
    {
        limits.headerTimeout = Timeout;
        PolledServer server(limits, answer);
        net::ip::tcp::socket caller = server.connect();
        send(caller, "POST / HTTP/1.1\r\nContent-Length: 4\r\n");
        server.poll();
        std::this_thread::sleep_for(LongerThanTimeout);
        send(caller, "\r\n");
        server.poll();
        THEN("the body is still read")
        {
            send(caller, "body");
            CHECK_THAT(server.receive(caller, "whole:body"), Catch::Contains("200 OK"));
        }
    }
    GIVEN("a body whose rest arrives late, and a handler that watches the caller")
    {
        limits.bodyTimeout = Timeout;
        PolledServer server(limits, answerWatched);
        net::ip::tcp::socket caller = server.connect();
        send(caller, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo");
        server.poll();
        std::this_thread::sleep_for(LongerThanTimeout);
        send(caller, "dy");
        THEN("the caller is not taken to be gone, and gets its answer")
        {
            CHECK_THAT(server.receive(caller, "whole:body"), Catch::Contains("200 OK"));
            CHECK(server.reports().empty());
        }
    }
}

// Guards against a write timeout that cuts an answer although the caller has just taken a part of it: the event loop was late and handled the timer first.
SCENARIO("A late event loop goes on with an answer of which the caller took a part beside the write timeout")
{
    ServerLimits limits;
    limits.writeTimeout = Timeout;
    PolledServer server(limits, answerLarge);
    net::ip::tcp::socket caller = server.connect();
    REQUIRE(server.pollUntil([&server] { return server.server().connections() == 1; }));
    send(caller, WholeRequest);
    // The system moves bytes between its buffers for a while, which lets the server write more.
    for (int turn = 0; turn < 10; ++turn) {
        server.poll();
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    GIVEN("a caller that reads beside the timeout")
    {
        std::size_t received = 0;
        server.runBeforeTimers(ShorterThanTimeout, [&caller, &received] { received += readArrived(caller); });
        std::this_thread::sleep_for(LongerThanTimeout);
        server.poll();
        THEN("it gets the whole answer")
        {
            server.pollUntil([&server, &caller, &received] {
                received += readArrived(caller);
                return received > LargeBytes || !server.reports().empty();
            });
            CHECK(received > LargeBytes);
            CHECK(server.reports().empty());
        }
    }
    GIVEN("a caller that does not read")
    {
        THEN("its connection is closed, and the cause is reported")
        {
            REQUIRE(server.pollUntil([&server] { return !server.reports().empty(); }));
            CHECK(server.reports().front().cause == UnansweredCause::WriteTimedOut);
            CHECK(server.pollUntil([&server] { return server.server().connections() == 0; }));
        }
    }
}
