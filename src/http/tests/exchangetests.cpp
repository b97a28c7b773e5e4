#include "http/connectionpool.h"
#include "http/ihttpclient.h"
#include "http/internal/clientconnection.h"

#include <boost/asio.hpp>

#include <catch2/catch.hpp>

using namespace rosemaryshift::http;
namespace net = boost::asio;
using net::ip::tcp;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);

/// Listening socket whose connections the test reads and writes byte by byte.
class RawServer
{
public:
    explicit RawServer(net::io_context &context)
        : m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
    {
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    net::awaitable<tcp::socket> accept()
    {
        tcp::socket socket = co_await m_acceptor.async_accept(net::use_awaitable);
        co_return socket;
    }

private:
    tcp::acceptor m_acceptor;
};

net::awaitable<std::string> readHead(tcp::socket &socket)
{
    std::string head;
    co_await net::async_read_until(socket, net::dynamic_buffer(head), "\r\n\r\n", Token);
    co_return head;
}

net::awaitable<void> answer(tcp::socket &socket, std::string body, std::string extra)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body + extra;
    co_await net::async_write(socket, net::buffer(bytes), Token);
}

net::awaitable<std::string> fetchBody(Endpoint endpoint, std::shared_ptr<ConnectionPool> pool)
{
    ClientFailure failure;
    Request request;
    const ClientTimeouts timeouts;
    const std::optional<Response> response = co_await fetch(endpoint, std::move(request), timeouts, failure, pool);
    co_return response ? response->body : "failed: " + failure.detail;
}

void runScript(net::io_context &context, net::awaitable<void> script)
{
    bool done = false;
    net::co_spawn(context, std::move(script), [&done](const std::exception_ptr &exception) {
        if (exception) {
            std::rethrow_exception(exception);
        }
        done = true;
    });
    context.run();
    REQUIRE(done);
}

}

TEST_CASE("A request whose answer times out resets the connection, so that the request cannot arrive later")
{
    net::io_context context;
    RawServer server(context);
    boost::system::error_code end;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            tcp::socket socket = co_await server.accept();
            const std::string head = co_await readHead(socket);
            std::string rest;
            std::tie(end, std::ignore) = co_await net::async_read(socket, net::dynamic_buffer(rest), Token);
        },
        net::detached);
    runScript(context, [&]() -> net::awaitable<void> {
        ClientFailure failure;
        Request request;
        ClientTimeouts timeouts;
        timeouts.header = std::chrono::milliseconds(20);
        const std::optional<Response> response = co_await fetch(server.endpoint(), std::move(request), timeouts, failure);
        CHECK(!response);
        CHECK(failure.error == ClientError::TimedOut);
    }());
    CHECK(end == net::error::connection_reset);
}

TEST_CASE("A pooled connection after an answer that was read to its end")
{
    net::io_context context;
    RawServer server(context);
    const std::shared_ptr<ConnectionPool> pool = std::make_shared<ConnectionPool>();
    int connections = 0;
    std::string extra;
    bool serving = true;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            while (serving) {
                tcp::socket socket = co_await server.accept();
                std::string head = co_await readHead(socket);
                while (serving && !head.empty()) {
                    std::string body = "connection " + std::to_string(connections);
                    co_await answer(socket, std::move(body), extra);
                    head = co_await readHead(socket);
                }
                ++connections;
            }
        },
        net::detached);

    SECTION("the pooled connection is reused for the next request")
    {
        runScript(context, [&]() -> net::awaitable<void> {
            const std::string first = co_await fetchBody(server.endpoint(), pool);
            CHECK(first == "connection 0");
            const std::string second = co_await fetchBody(server.endpoint(), pool);
            CHECK(second == "connection 0");
            CHECK(pool->size() == 1);
            serving = false;
            pool->drop(server.endpoint());
        }());
    }
    SECTION("a connection with unsolicited bytes is not reused")
    {
        extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
        runScript(context, [&]() -> net::awaitable<void> {
            const std::string first = co_await fetchBody(server.endpoint(), pool);
            CHECK(first == "connection 0");
            net::steady_timer delay(co_await net::this_coro::executor, std::chrono::milliseconds(20));
            co_await delay.async_wait(net::use_awaitable);
            const std::string second = co_await fetchBody(server.endpoint(), pool);
            CHECK(second == "connection 1");
            serving = false;
            pool->drop(server.endpoint());
        }());
    }
}

// Guards against requests that are sent on a decision made before the connection was opened.
// Guards against taking an upstream that has restarted for the run before: connections that ended while they were idle were dropped without a word.
TEST_CASE("A pool tells when the other side has ended the last idle connections to an endpoint")
{
    net::io_context context;
    RawServer server(context);
    std::vector<std::string> ended;
    const std::shared_ptr<ConnectionPool> pool = std::make_shared<ConnectionPool>([&ended](std::string_view endpoint) { ended.emplace_back(endpoint); });
    runScript(context, [](RawServer &listening, std::shared_ptr<ConnectionPool> connections, std::vector<std::string> &reported) -> net::awaitable<void> {
        const net::any_io_executor executor = co_await net::this_coro::executor;
        const Endpoint endpoint = listening.endpoint();
        std::string body;
        // Has one request answered, on the kept connection or a new one.
        net::steady_timer answered(executor, net::steady_timer::time_point::max());
        net::co_spawn(
            executor,
            [](Endpoint target, std::shared_ptr<ConnectionPool> used, std::string &received, net::steady_timer &done) -> net::awaitable<void> {
                received = co_await fetchBody(target, used);
                done.cancel();
            }(endpoint, connections, body, answered),
            net::detached);
        std::optional<tcp::socket> socket(co_await listening.accept());
        co_await readHead(*socket);
        co_await answer(*socket, "first", "");
        co_await answered.async_wait(Token);
        CHECK(body == "first");
        CHECK(connections->size() == 1);
        CHECK(connections->hasOpen(endpoint));
        CHECK(reported.empty());

        socket.reset();
        net::steady_timer arrival(executor, std::chrono::milliseconds(20));
        co_await arrival.async_wait(Token);
        CHECK(!connections->hasOpen(endpoint));
        CHECK(connections->take(endpoint) == nullptr);
        CHECK(reported == std::vector<std::string>{endpoint.text()});
        CHECK(connections->take(endpoint) == nullptr);
        CHECK(reported.size() == 1);
    }(server, pool, ended));
}

TEST_CASE("A request that is withdrawn once the connection is open is not sent, and the connection serves the next one")
{
    const bool pooled = GENERATE(false, true);
    CAPTURE(pooled);
    net::io_context context;
    RawServer server(context);
    const std::shared_ptr<ConnectionPool> pool = std::make_shared<ConnectionPool>();
    int connections = 0;
    std::vector<std::string> heads;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            tcp::socket socket = co_await server.accept();
            ++connections;
            for (std::string head = co_await readHead(socket); !head.empty(); head = co_await readHead(socket)) {
                heads.push_back(head.substr(0, head.find(' ', head.find(' ') + 1)));
                std::string body = "served";
                co_await answer(socket, std::move(body), {});
            }
        },
        net::detached);

    runScript(context, [&]() -> net::awaitable<void> {
        const net::any_io_executor executor = co_await net::this_coro::executor;
        if (pooled) {
            const std::string first = co_await fetchBody(server.endpoint(), pool);
            CHECK(first == "served");
            heads.clear();
        }
        std::shared_ptr<IExchange> exchange = makeExchange(executor, pool);
        ClientFailure failure;
        int asked = 0;
        RequestSource source = [&asked] {
            ++asked;
            return std::optional<Request>();
        };
        const ClientTimeouts timeouts;
        const std::optional<Response> response = co_await exchange->open(server.endpoint(), std::move(source), timeouts, failure);
        CHECK(!response);
        CHECK(failure.error == ClientError::Withdrawn);
        CHECK(asked == 1);
        CHECK(pool->size() == 1);
        exchange.reset();

        const std::string next = co_await fetchBody(server.endpoint(), pool);
        CHECK(next == "served");
        CHECK(heads == std::vector<std::string>{"GET /"});
        CHECK(connections == 1);
        pool->drop(server.endpoint());
    }());
}

// Guards against a server that goes on sending after the end of the exchange, and is read for ever.
TEST_CASE("What arrives after the end of an exchange is not read")
{
    net::io_context context;
    RawServer server(context);
    bool serving = true;
    net::co_spawn(
        context,
        [&]() -> net::awaitable<void> {
            tcp::socket socket = co_await server.accept();
            co_await readHead(socket);
            const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n";
            co_await net::async_write(socket, net::buffer(head), Token);
            const std::string piece(64 * 1024, 'x');
            boost::system::error_code error;
            while (serving && !error) {
                std::tie(error, std::ignore) = co_await net::async_write(socket, net::buffer(piece), Token);
            }
        },
        net::detached);
    runScript(context, [&]() -> net::awaitable<void> {
        const net::any_io_executor executor = co_await net::this_coro::executor;
        const std::shared_ptr<IExchange> exchange = makeExchange(executor);
        ClientFailure failure;
        Request request;
        ClientTimeouts timeouts;
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(10);
        timeouts.end = end;
        const std::optional<Response> response = co_await exchange->open(server.endpoint(), std::move(request), timeouts, failure);
        REQUIRE(response);
        std::size_t pieces = 0;
        std::size_t piecesAfterEnd = 0;
        constexpr std::size_t MaxPieces = 100'000;
        for (bool open = true; open && pieces < MaxPieces; ++pieces) {
            const std::optional<std::string> piece = co_await exchange->readSome(failure);
            open = piece && !piece->empty();
            piecesAfterEnd += std::chrono::steady_clock::now() > end ? 1 : 0;
        }
        serving = false;
        exchange->cancel();
        CHECK(failure.error == ClientError::TimedOut);
        CHECK(piecesAfterEnd < 1'000);
    }());
}

// Guards against a server that stops in the head of its answer and closes, and whose answer is taken for a success with an empty or short body.
TEST_CASE("A head that ends early is no answer, wherever it ends")
{
    const bool pooled = GENERATE(false, true);
    const std::string framing = GENERATE("Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "", "Content-Length: 5\r\nConnection: close\r\n");
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + framing + "X-Last: 1\r\n\r\n";
    CAPTURE(pooled, framing);
    net::io_context context;
    RawServer server(context);
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(length);
        const std::shared_ptr<ConnectionPool> pool = std::make_shared<ConnectionPool>();
        net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                tcp::socket socket = co_await server.accept();
                co_await readHead(socket);
                if (pooled) {
                    std::string body = "first";
                    co_await answer(socket, std::move(body), {});
                    co_await readHead(socket);
                }
                co_await net::async_write(socket, net::buffer(head.data(), length), Token);
                boost::system::error_code ignored;
                socket.shutdown(tcp::socket::shutdown_send, ignored);
                std::string rest;
                co_await net::async_read(socket, net::dynamic_buffer(rest), Token);
            },
            net::detached);
        context.restart();
        runScript(context, [&]() -> net::awaitable<void> {
            const net::any_io_executor executor = co_await net::this_coro::executor;
            if (pooled) {
                const std::string first = co_await fetchBody(server.endpoint(), pool);
                CHECK(first == "first");
            }
            std::shared_ptr<IExchange> exchange = makeExchange(executor, pool);
            ClientFailure failure;
            Request request;
            const ClientTimeouts timeouts;
            const std::optional<Response> response = co_await exchange->open(server.endpoint(), std::move(request), timeouts, failure);
            CHECK(!response);
            CHECK(failure.error == ClientError::Closed);
            CHECK(exchange->reused() == pooled);
            exchange.reset();
            CHECK(pool->size() == 0);
        }());
    }
}

TEST_CASE("A response tells what marks the end of its body")
{
    net::io_context context;
    RawServer server(context);
    std::string head;
    BodyFraming framing = BodyFraming::Length;
    const auto framingOf = [&](std::string answerBytes) {
        head = std::move(answerBytes);
        net::co_spawn(
            context,
            [&]() -> net::awaitable<void> {
                tcp::socket socket = co_await server.accept();
                co_await readHead(socket);
                co_await net::async_write(socket, net::buffer(head), Token);
            },
            net::detached);
        context.restart();
        runScript(context, [&]() -> net::awaitable<void> {
            ClientFailure failure;
            Request request;
            const ClientTimeouts timeouts;
            const std::optional<Response> response = co_await fetch(server.endpoint(), std::move(request), timeouts, failure);
            REQUIRE(response);
            framing = response->framing;
        }());
        return framing;
    };

    SECTION("a length, also of a status without a body")
    {
        CHECK(framingOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") == BodyFraming::Length);
        CHECK(framingOf("HTTP/1.1 204 No Content\r\n\r\n") == BodyFraming::Length);
    }
    SECTION("the last chunk")
    {
        CHECK(framingOf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n") == BodyFraming::Chunked);
    }
    SECTION("the end of the connection")
    {
        CHECK(framingOf("HTTP/1.1 200 OK\r\n\r\nok") == BodyFraming::Connection);
    }
}
