#include "http/ihttpclient.h"
#include "http/ihttpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace rosemaryshift::http;
namespace net = boost::asio;

namespace {

/// Answers with the request's method and body; the targets /stream, /cut, /second and /watched test a streamed answer, an aborted one, one that is
/// followed by a second answer, and the detection of disconnected callers.
net::awaitable<void> echo(Request request, IResponseWriter &writer)
{
    if (request.target == "/stream") {
        Headers headers;
        headers.add("Content-Type", "text/plain");
        co_await writer.begin(200, std::move(headers));
        co_await writer.write("one,");
        co_await writer.write("two");
        co_await writer.end();
        co_return;
    }
    if (request.target == "/cut") {
        Headers headers;
        co_await writer.begin(200, std::move(headers));
        co_await writer.write("half");
        writer.abort();
        co_return;
    }
    if (request.target == "/second") {
        Headers headers;
        co_await writer.begin(200, std::move(headers));
        co_await writer.write("half");
    }
    if (request.target == "/watched") {
        writer.onCallerGone([] {});
        net::steady_timer delay(co_await net::this_coro::executor, std::chrono::milliseconds(1));
        co_await delay.async_wait(net::use_awaitable);
        if (writer.callerGone()) {
            writer.abort();
            co_return;
        }
    }
    Response response;
    response.body = request.method + " " + request.body;
    co_await writer.respond(std::move(response));
}

/// Sends @p segments one by one on a TCP connection and returns all bytes received until the server closes it. @p end: how reading ended.
std::string rawExchange(const Endpoint &endpoint, const std::vector<std::string_view> &segments, boost::system::error_code &end)
{
    net::io_context context;
    net::ip::tcp::socket socket(context);
    socket.connect({net::ip::make_address(endpoint.address), endpoint.port});
    boost::system::error_code ignored;
    socket.set_option(net::ip::tcp::no_delay(true), ignored);
    for (const std::string_view bytes : segments) {
        net::write(socket, net::buffer(bytes), ignored);
    }
    std::string answer;
    net::read(socket, net::dynamic_buffer(answer), end);
    return answer;
}

/// As above, for tests that do not check how reading ended.
std::string rawExchange(const Endpoint &endpoint, const std::vector<std::string_view> &segments)
{
    boost::system::error_code ignored;
    return rawExchange(endpoint, segments, ignored);
}

/// A server with the handler echo(), run by two threads.
class RunningServer
{
public:
    explicit RunningServer(const ServerLimits &limits)
    {
        std::string reason;
        m_server = makeHttpServer(m_context, {"127.0.0.1", 0}, limits, echo, reason);
        REQUIRE(m_server != nullptr);
        for (std::thread &thread : m_threads) {
            thread = std::thread([this] { m_context.run(); });
        }
    }

    ~RunningServer()
    {
        m_server.reset();
        m_context.stop();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
    }

    RunningServer(const RunningServer &) = delete;
    RunningServer &operator=(const RunningServer &) = delete;

    [[nodiscard]] Endpoint endpoint() const
    {
        return m_server->endpoint();
    }

    std::optional<Response> fetchNow(const Request &request, ClientFailure &failure) const
    {
        net::io_context context;
        std::optional<Response> response;
        net::co_spawn(
            context, [&]() -> net::awaitable<void> { response = co_await fetch(endpoint(), request, {}, failure); }, net::detached);
        context.run();
        return response;
    }

private:
    net::io_context m_context;
    std::unique_ptr<IHttpServer> m_server;
    std::array<std::thread, 2> m_threads;
};

}

SCENARIO("An HTTP server answers well-formed requests and reports an error for others")
{
    ServerLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 64;
    limits.headerTimeout = std::chrono::milliseconds(200);
    const RunningServer server(limits);
    ClientFailure failure;

    GIVEN("a request with a body")
    {
        Request request;
        request.method = "POST";
        request.body = "hello";
        const std::optional<Response> response = server.fetchNow(request, failure);
        REQUIRE(response);
        CHECK(response->body == "POST hello");
    }
    GIVEN("2000 callers that send their request in several segments and wait for the answer")
    {
        constexpr int Callers = 2'000;
        int answered = 0;
        for (int i = 0; i < Callers; ++i) {
            const std::vector<std::string_view> segments{"POST /watched HTTP/1.1\r\nConnection: close\r\n", "Content-Length: 4\r\n\r\nab", "c", "d"};
            answered += rawExchange(server.endpoint(), segments).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        THEN("no caller is detected as disconnected")
        {
            CHECK(answered == Callers);
        }
    }
    GIVEN("a streamed answer")
    {
        Request request;
        request.target = "/stream";
        const std::optional<Response> response = server.fetchNow(request, failure);
        REQUIRE(response);
        CHECK(response->body == "one,two");
    }
    GIVEN("a streamed answer that the server aborts")
    {
        Request request;
        request.target = "/cut";
        CHECK_FALSE(server.fetchNow(request, failure));
        CHECK(failure.error == ClientError::Closed);
    }
    GIVEN("a stream that is followed by another answer")
    {
        const std::string received = rawExchange(server.endpoint(), {"GET /second HTTP/1.1\r\nHost: h\r\n\r\n"});
        CHECK_THAT(received, Catch::EndsWith("half\r\n"));
    }
    GIVEN("a request that is not valid HTTP")
    {
        CHECK_THAT(rawExchange(server.endpoint(), {"NONSENSE\r\n\r\n"}), Catch::Contains("400 Bad Request") && Catch::Contains("malformed_request"));
    }
    GIVEN("a request header over the limit")
    {
        const std::string header = "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n";
        CHECK_THAT(rawExchange(server.endpoint(), {header}), Catch::Contains("431") && Catch::Contains("header_too_large"));
    }
    GIVEN("a request body over the limit")
    {
        const std::string request = "POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
        CHECK_THAT(rawExchange(server.endpoint(), {request}), Catch::Contains("413") && Catch::Contains("body_too_large"));
    }
    GIVEN("a request header without an end")
    {
        CHECK_THAT(rawExchange(server.endpoint(), {"GET / HTTP/1.1\r\nX:"}), Catch::Contains("408") && Catch::Contains("request_timeout"));
    }
}

// Guards against requests that cross the close of an idle connection because their callers do not know when the server closes it.
SCENARIO("An HTTP server tells callers to stop using an idle connection before it closes it")
{
    ServerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(1'500);
    const RunningServer server(limits);

    GIVEN("a connection that is kept behind an answer")
    {
        net::io_context context;
        net::ip::tcp::socket caller(context);
        caller.connect({net::ip::make_address("127.0.0.1"), server.endpoint().port});
        net::write(caller, net::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
        std::string answer;
        boost::system::error_code error;
        net::read_until(caller, net::dynamic_buffer(answer), "GET ", error);
        THEN("the answer states a time that is shorter than the idle timeout")
        {
            CHECK_THAT(answer, Catch::Contains("Keep-Alive: timeout=1\r\n"));
        }
        WHEN("the caller uses the connection at the end of that time")
        {
            std::this_thread::sleep_for(std::chrono::seconds(1));
            net::write(caller, net::buffer(std::string_view("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")), error);
            std::string next;
            net::read(caller, net::dynamic_buffer(next), error);
            THEN("it is answered, and an answer behind which the connection is closed states no time")
            {
                CHECK_THAT(next, Catch::StartsWith("HTTP/1.1 200") && !Catch::Contains("Keep-Alive"));
            }
        }
    }
    GIVEN("a streamed answer")
    {
        const std::string answer = rawExchange(server.endpoint(), {"GET /stream HTTP/1.1\r\n\r\n"});
        CHECK_THAT(answer, Catch::Contains("Keep-Alive: timeout=1\r\n"));
    }
}

// Guards against a stream that was broken off reaching an HTTP/1.0 caller as complete: such an answer ends with its connection.
SCENARIO("An HTTP/1.0 caller can tell an aborted stream from a complete one")
{
    const RunningServer server(ServerLimits{});
    boost::system::error_code end;

    GIVEN("a complete stream")
    {
        CHECK_THAT(rawExchange(server.endpoint(), {"GET /stream HTTP/1.0\r\n\r\n"}, end), Catch::EndsWith("one,two"));
        CHECK(end == net::error::eof);
    }
    GIVEN("a stream that the server aborts")
    {
        rawExchange(server.endpoint(), {"GET /cut HTTP/1.0\r\n\r\n"}, end);
        CHECK(end == net::error::connection_reset);
    }
}

SCENARIO("A stopping server answers callers that connected before the stop")
{
    net::io_context context;
    std::string reason;
    const std::unique_ptr<IHttpServer> server = makeHttpServer(context, {"127.0.0.1", 0}, {}, echo, reason);
    REQUIRE(server);
    GIVEN("callers whose connections are not yet accepted")
    {
        constexpr std::size_t Callers = 20;
        net::io_context callerContext;
        std::vector<net::ip::tcp::socket> callers;
        for (std::size_t i = 0; i < Callers; ++i) {
            callers.emplace_back(callerContext).connect({net::ip::make_address("127.0.0.1"), server->endpoint().port});
        }
        WHEN("the server stops before it has read any bytes")
        {
            server->stopAccepting();
            std::thread thread([&context] { context.run(); });
            THEN("each caller gets its answer, and the connection is closed")
            {
                std::size_t answered = 0;
                for (net::ip::tcp::socket &caller : callers) {
                    boost::system::error_code ignored;
                    net::write(caller, net::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")), ignored);
                    std::string answer;
                    net::read(caller, net::dynamic_buffer(answer), ignored);
                    answered += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
                }
                CHECK(answered == Callers);
            }
            thread.join();
        }
    }
}

// Guards against a stopping server that closes a kept connection on which a request has arrived that it has not read, so that the request gets no answer.
SCENARIO("A stopping server answers a request that has arrived on a kept connection before the stop")
{
    net::io_context context;
    std::string reason;
    const std::unique_ptr<IHttpServer> server = makeHttpServer(context, {"127.0.0.1", 0}, {}, echo, reason);
    REQUIRE(server);
    net::io_context callerContext;
    net::ip::tcp::socket caller(callerContext);
    caller.connect({net::ip::make_address("127.0.0.1"), server->endpoint().port});
    constexpr std::string_view Request = "GET / HTTP/1.1\r\n\r\n";
    net::write(caller, net::buffer(Request));
    std::array<char, 4'096> firstAnswer{};
    while (caller.available() == 0) {
        context.run_for(std::chrono::milliseconds(10));
    }
    REQUIRE(caller.read_some(net::buffer(firstAnswer)) > 0);

    GIVEN("a further request that the server has not read when it stops")
    {
        net::write(caller, net::buffer(Request));
        server->stopAccepting();
        std::thread thread([&context] { context.run(); });
        std::string answer;
        boost::system::error_code end;
        net::read(caller, net::dynamic_buffer(answer), end);
        thread.join();
        CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 200"));
        CHECK(end == net::error::eof);
    }
    GIVEN("no further request")
    {
        server->stopAccepting();
        std::thread thread([&context] { context.run(); });
        std::string answer;
        boost::system::error_code end;
        net::read(caller, net::dynamic_buffer(answer), end);
        thread.join();
        CHECK(answer.empty());
        CHECK(end == net::error::eof);
    }
}
