#include "http/tests/rawserver.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace rosemaryshift::http;
using namespace rosemaryshift::http::testing;
namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds ShortTimeout{50};

/// Reads an answer to its end, after @p readingPause between head and body.
net::awaitable<void>
readAnswer(IExchange &exchange, Endpoint endpoint, Request request, ClientTimeouts timeouts, ReceivedAnswer &answer, std::chrono::milliseconds readingPause)
{
    answer.response = co_await exchange.open(endpoint, std::move(request), timeouts, answer.failure);
    net::steady_timer timer(co_await net::this_coro::executor, readingPause);
    co_await timer.async_wait(net::use_awaitable);
    while (answer.response && !answer.whole) {
        const std::optional<std::string> piece = co_await exchange.readSome(answer.failure);
        if (!piece) {
            break;
        }
        answer.response->body += *piece;
        answer.whole = piece->empty();
    }
    answer.done = true;
}

}

// Guards against a body that ends with its connection and passes for whole after a reset: the system reports the error once, to whoever asks first.
TEST_CASE("An answer without a length whose connection breaks is not whole, whoever learns of the break first")
{
    RawServer server;
    const std::shared_ptr<IExchange> exchange = makeExchange(server.context().get_executor());
    ReceivedAnswer answer;
    ClientTimeouts timeouts;
    const auto start = [&](std::chrono::milliseconds readingPause) {
        Request request;
        net::co_spawn(server.context(), readAnswer(*exchange, server.endpoint(), std::move(request), timeouts, answer, readingPause), net::detached);
        server.run(std::chrono::milliseconds(10));
        server.accept();
        server.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart");
        server.run(std::chrono::milliseconds(10));
    };

    SECTION("the read itself")
    {
        start(std::chrono::milliseconds(0));
        server.reset();
    }
    SECTION("a look for unread bytes while nothing is read, since the server was silent")
    {
        timeouts.body = ShortTimeout;
        exchange->setSilenceHandler([&]() -> net::awaitable<bool> {
            server.reset();
            CHECK(exchange->hasUnread());
            co_return false;
        });
        start(std::chrono::milliseconds(0));
    }
    SECTION("the look of a late host whether bytes have come since the timeout")
    {
        timeouts.body = ShortTimeout;
        start(std::chrono::milliseconds(0));
        // The timers become due while the host stands still, so that they are handled in one turn, before the socket is looked at.
        net::steady_timer other(server.context(), std::chrono::milliseconds(1));
        other.async_wait([&](boost::system::error_code) { server.reset(); });
        std::this_thread::sleep_for(2 * ShortTimeout);
        server.run(std::chrono::seconds(5));
    }
    SECTION("the look for what has arrived by the end of the exchange, after a slow caller")
    {
        timeouts.end = std::chrono::steady_clock::now() + 2 * ShortTimeout;
        start(4 * ShortTimeout);
        server.reset();
    }
    server.run(std::chrono::seconds(5));
    REQUIRE(answer.done);
    REQUIRE(answer.response);
    CHECK_FALSE(answer.whole);
    CAPTURE(answer.failure.detail);
    CHECK((answer.failure.error == ClientError::Closed || answer.failure.error == ClientError::TimedOut));
}

TEST_CASE("An answer without a length whose server ends the connection is whole, also after a look for unread bytes")
{
    RawServer server;
    const std::shared_ptr<IExchange> exchange = makeExchange(server.context().get_executor());
    ReceivedAnswer answer;
    ClientTimeouts timeouts;
    timeouts.body = ShortTimeout;
    exchange->setSilenceHandler([&]() -> net::awaitable<bool> {
        server.end();
        CHECK(exchange->hasUnread());
        co_return false;
    });
    Request request;
    net::co_spawn(
        server.context(), readAnswer(*exchange, server.endpoint(), std::move(request), timeouts, answer, std::chrono::milliseconds(0)), net::detached);
    server.run(std::chrono::milliseconds(10));
    server.accept();
    server.send("HTTP/1.1 200 OK\r\n\r\nall");
    server.run(std::chrono::seconds(5));
    REQUIRE(answer.done);
    REQUIRE(answer.whole);
    CHECK(answer.response->body == "all");
}

// Guards against the part of an early answer that passes for whole: its server reset the connection while the upload was still being written.
TEST_CASE("An answer without a length that comes early and is reset while the request is still written is not whole")
{
    RawServer server;
    const std::shared_ptr<IExchange> exchange = makeExchange(server.context().get_executor());
    ReceivedAnswer answer;
    const ClientTimeouts timeouts;
    Request request;
    request.method = "POST";
    request.body.resize(GENERATE(std::size_t{900} * 1024, std::size_t{32} * 1024 * 1024));
    CAPTURE(request.body.size());
    net::co_spawn(
        server.context(), readAnswer(*exchange, server.endpoint(), std::move(request), timeouts, answer, std::chrono::milliseconds(0)), net::detached);
    server.run(std::chrono::milliseconds(10));
    server.accept();
    server.send("HTTP/1.1 200 OK\r\n\r\npart");
    server.run(std::chrono::milliseconds(60));
    server.reset();
    server.run(std::chrono::seconds(5));
    REQUIRE(answer.done);
    CHECK_FALSE(answer.whole);
}
