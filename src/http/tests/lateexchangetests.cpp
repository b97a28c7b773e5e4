#include "http/ihttpclient.h"

#include <boost/asio.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace rosemaryshift::http;
namespace net = boost::asio;
using net::ip::tcp;

// Guards against an answer that had arrived and was thrown away, because the late host handled the timer of its own read first.
TEST_CASE("An answer that arrives before a late host handles the timer of the read is read")
{
    net::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    const std::string body = "whole";
    ClientTimeouts timeouts;
    std::string before; // Sent while the host is in time.
    std::string late;   // Sent while the host handles something else, and the timer becomes due.

    SECTION("the whole answer, with the timeout of the head")
    {
        timeouts.header = std::chrono::milliseconds(50);
        late = head + body;
    }
    SECTION("the rest of the head")
    {
        timeouts.header = std::chrono::milliseconds(50);
        before = head.substr(0, 20);
        late = head.substr(20) + body;
    }
    SECTION("the rest of the body, with the timeout between two reads")
    {
        timeouts.body = std::chrono::milliseconds(50);
        before = head + body.substr(0, 2);
        late = body.substr(2);
    }
    SECTION("the whole answer, at the end of the exchange")
    {
        timeouts.end = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
        late = head + body;
    }

    bool done = false;
    ClientFailure failure;
    std::optional<Response> response;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            Request request;
            response = co_await fetch(endpoint, std::move(request), timeouts, failure);
            done = true;
        },
        net::detached);
    context.run_for(std::chrono::milliseconds(10));
    tcp::socket server = acceptor.accept();
    server.write_some(net::buffer(before));
    context.run_for(std::chrono::milliseconds(10));

    // Both timers become due while the host stands still, so that they are handled in one turn, before the socket is looked at.
    net::steady_timer other(context, std::chrono::milliseconds(1));
    other.async_wait([&](boost::system::error_code) { server.write_some(net::buffer(late)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    context.run_for(std::chrono::seconds(5));
    REQUIRE(done);
    CAPTURE(failure.detail);
    REQUIRE(response);
    CHECK(response->body == body);
}

// Guards against an exchange without end: a late host handles the timer between two parts of one read, where cancelling has no effect.
TEST_CASE("An exchange ends at its timeout when the part of an answer that has arrived needs several reads")
{
    net::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    const Endpoint endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
    ClientTimeouts timeouts;
    timeouts.header = std::chrono::milliseconds(50);
    bool done = false;
    ClientFailure failure;
    std::optional<Response> response;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            Request request;
            response = co_await fetch(endpoint, std::move(request), timeouts, failure);
            done = true;
        },
        net::detached);
    context.run_for(std::chrono::milliseconds(10));
    tcp::socket server = acceptor.accept();

    // The bytes and the timer become due while the host stands still, so that the first read completes before the timer is handled.
    constexpr std::size_t SeveralReads = 700;
    const std::string partOfHead = "HTTP/1.1 200 OK\r\nX-Padding: " + std::string(SeveralReads, 'x');
    server.write_some(net::buffer(partOfHead));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    context.run_for(std::chrono::seconds(2));
    REQUIRE(done);
    CHECK_FALSE(response);
    CHECK(failure.error == ClientError::TimedOut);
}
