#include "http/connectionpool.h"
#include "http/ihttpclient.h"
#include "http/internal/clientconnection.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <cstring>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Size of the buffer for reading a body.
constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Time after which a connection with unacknowledged sent bytes is closed; long enough for several TCP retransmissions.
constexpr std::chrono::milliseconds UnacknowledgedTimeout{1'200};
/// Largest accepted body of an answer.
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

class Exchange : public IExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
        : m_executor(executor)
        , m_pool(std::move(pool))
    {
    }

    ~Exchange() override
    {
        returnConnection();
    }

    net::awaitable<std::optional<Response>> open(const Endpoint &endpoint, RequestSource source, ClientTimeouts timeouts, ClientFailure &failure) override
    {
        m_timeouts = timeouts;
        m_endpoint = endpoint;
        if (!co_await connect(endpoint, failure)) {
            co_return std::nullopt;
        }
        // Nothing may wait between here and the sending, so that what the source has checked still holds.
        std::optional<Request> request = source();
        if (!request) {
            keepUnusedConnection();
            failure = {ClientError::Withdrawn, "the request was withdrawn before it was sent"};
            co_return std::nullopt;
        }
        ++m_connection->exchanges;
        m_isHead = request->method == "HEAD";
        if (!co_await send(endpoint, std::move(*request), failure)) {
            co_return std::nullopt;
        }
        std::optional<Response> result = co_await readHead(failure);
        co_return result;
    }

    net::awaitable<std::optional<Response>> openNext(ClientFailure &failure) override
    {
        while (true) {
            const std::optional<std::string> piece = co_await readSome(failure);
            if (!piece) {
                co_return std::nullopt;
            }
            if (piece->empty()) {
                break;
            }
        }
        if (!m_parser->keep_alive()) {
            failure = {ClientError::Closed, "the connection ended behind an answer to another request"};
            co_return std::nullopt;
        }
        std::optional<Response> result = co_await readHead(failure);
        co_return result;
    }

    net::awaitable<std::optional<std::string>> readSome(ClientFailure &failure) override
    {
        if (m_readBuffer.empty()) {
            m_readBuffer.resize(ReadBufferBytes);
        }
        while (!m_parser->is_done()) {
            m_parser->get().body().data = m_readBuffer.data();
            m_parser->get().body().size = m_readBuffer.size();
            expireAfter(m_timeouts.body);
            const auto [error, bytes] = co_await bhttp::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, Token);
            if (error && error != bhttp::error::need_buffer) {
                failure = failureOf(error, ClientError::Closed);
                co_return std::nullopt;
            }
            const std::size_t length = m_readBuffer.size() - m_parser->get().body().size;
            if (length > 0) {
                co_return std::string(m_readBuffer.data(), length);
            }
        }
        co_return std::string();
    }

    void cancel() override
    {
        m_cancelled = true;
        net::post(m_executor, [self = shared_from_this()] {
            if (self->m_connection) {
                self->m_connection->stream.close();
            }
        });
    }

    [[nodiscard]] bool reused() const override
    {
        return m_connection && m_connection->exchanges > 1;
    }

private:
    net::awaitable<bool> connect(const Endpoint &endpoint, ClientFailure &failure)
    {
        beast::error_code parseError;
        const net::ip::address address = net::ip::make_address(endpoint.address, parseError);
        if (parseError || m_cancelled) {
            failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text()};
            co_return false;
        }
        if (m_pool) {
            m_connection = m_pool->take(endpoint);
        }
        if (m_connection) {
            co_return true;
        }
        m_connection = std::make_unique<ClientConnection>(m_executor);
        expireAfter(m_timeouts.connect);
        const auto [error] = co_await m_connection->stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), Token);
        if (error || m_cancelled) {
            failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text() + ": " + error.message()};
            co_return false;
        }
        beast::error_code ignored;
        m_connection->stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
        // Detects a broken network link earlier than the timeout of the answer does.
        using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        m_connection->stream.socket().set_option(UserTimeout(static_cast<int>(UnacknowledgedTimeout.count())), ignored);
        // Closing resets the connection, so that a delayed request is dropped with its exchange instead of arriving later.
        m_connection->stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
        co_return true;
    }

    net::awaitable<bool> send(const Endpoint &endpoint, Request request, ClientFailure &failure)
    {
        bhttp::request<bhttp::string_body> message(bhttp::string_to_verb(request.method), request.target, 11);
        if (message.method() == bhttp::verb::unknown) {
            message.method_string(request.method);
        }
        if (!request.headers.find("Host")) {
            message.set(bhttp::field::host, endpoint.text());
        }
        for (const Header &field : request.headers.all()) {
            message.insert(field.name, field.value);
        }
        message.keep_alive(m_pool != nullptr);
        message.body() = std::move(request.body);
        message.prepare_payload();
        expireAfter(m_timeouts.header);
        const auto [error, bytes] = co_await bhttp::async_write(m_connection->stream, message, Token);
        if (error) {
            failure = failureOf(error, ClientError::SendFailed);
            co_return false;
        }
        co_return true;
    }

    net::awaitable<std::optional<Response>> readHead(ClientFailure &failure)
    {
        m_parser.emplace();
        m_parser->body_limit(MaxBodyBytes);
        m_parser->skip(m_isHead);
        expireAfter(m_timeouts.header);
        const auto [error, bytes] = co_await bhttp::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, Token);
        if (error) {
            failure = failureOf(error, ClientError::Closed);
            co_return std::nullopt;
        }
        co_return head();
    }

    /// Sets the timeout of the next operation to @p timeout, but not beyond the end of the whole exchange.
    void expireAfter(std::chrono::milliseconds timeout)
    {
        const std::chrono::steady_clock::time_point expiry = std::chrono::steady_clock::now() + timeout;
        m_connection->stream.expires_at(m_timeouts.end ? std::min(expiry, *m_timeouts.end) : expiry);
    }

    /// Gives the connection to the pool before a request was sent on it.
    void keepUnusedConnection()
    {
        if (m_pool && !m_cancelled) {
            m_pool->keepUnused(m_endpoint, std::move(m_connection));
        }
        m_connection.reset();
    }

    /// Returns the connection to the pool if the answer was read to its end and the server keeps it open.
    void returnConnection()
    {
        if (!m_pool || !m_connection || m_cancelled || !m_parser || !m_parser->is_done() || !m_parser->keep_alive() || m_connection->buffer.size() > 0) {
            return;
        }
        std::optional<std::chrono::milliseconds> idleTimeout;
        const beast::string_view keepAlive = m_parser->get()["Keep-Alive"];
        const std::size_t at = keepAlive.find("timeout=");
        if (at != beast::string_view::npos) {
            idleTimeout = std::chrono::seconds(std::strtoul(std::string(keepAlive.substr(at + std::strlen("timeout="))).c_str(), nullptr, 10));
        }
        m_pool->keep(m_endpoint, std::move(m_connection), idleTimeout);
    }

    [[nodiscard]] Response head() const
    {
        Response response;
        response.status = static_cast<int>(m_parser->get().result_int());
        for (const auto &field : m_parser->get()) {
            response.headers.add(field.name_string(), field.value());
        }
        response.framing = framing();
        return response;
    }

    [[nodiscard]] BodyFraming framing() const
    {
        if (m_parser->need_eof()) {
            return BodyFraming::Connection;
        }
        return m_parser->chunked() ? BodyFraming::Chunked : BodyFraming::Length;
    }

    [[nodiscard]] ClientFailure failureOf(beast::error_code error, ClientError fallback) const
    {
        if (m_cancelled) {
            return {ClientError::Cancelled, "cancelled"};
        }
        // The system reports a timeout of its own when the peer does not acknowledge what was sent.
        if (error == beast::error::timeout || error == net::error::timed_out) {
            if (m_pool) {
                // A network fault that broke this connection may have broken all idle connections to the endpoint.
                m_pool->drop(m_endpoint);
            }
            return {ClientError::TimedOut, "nothing came within the timeout"};
        }
        const bool closed = error == bhttp::error::end_of_stream || error == bhttp::error::partial_message;
        if (!closed && error.category() == make_error_code(bhttp::error::bad_method).category()) {
            return {ClientError::Malformed, error.message()};
        }
        return {fallback, error.message()};
    }

    net::any_io_executor m_executor;
    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<ClientConnection> m_connection;
    std::optional<bhttp::response_parser<bhttp::buffer_body>> m_parser;
    std::string m_readBuffer;
    ClientTimeouts m_timeouts;
    Endpoint m_endpoint;
    bool m_isHead = false;
    std::atomic<bool> m_cancelled = false;
};

}

net::awaitable<std::optional<Response>> IExchange::open(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
{
    RequestSource source = [request = std::move(request)]() mutable { return std::optional<Request>(std::move(request)); };
    return open(endpoint, std::move(source), timeouts, failure);
}

std::shared_ptr<IExchange> makeExchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
{
    return std::make_shared<Exchange>(executor, std::move(pool));
}

net::awaitable<std::optional<Response>> fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure)
{
    // A named variable, since GCC 12 destroys a temporary of this type twice when it is passed to a coroutine.
    const std::shared_ptr<ConnectionPool> noPool;
    std::optional<Response> response = co_await fetch(endpoint, std::move(request), timeouts, failure, noPool);
    co_return response;
}

net::awaitable<std::optional<Response>>
fetch(const Endpoint &endpoint, Request request, ClientTimeouts timeouts, ClientFailure &failure, std::shared_ptr<ConnectionPool> pool)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<IExchange> exchange = makeExchange(executor, std::move(pool));
    std::optional<Response> response = co_await exchange->open(endpoint, std::move(request), timeouts, failure);
    if (!response) {
        co_return std::nullopt;
    }
    while (true) {
        const std::optional<std::string> piece = co_await exchange->readSome(failure);
        if (!piece) {
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return response;
        }
        response->body += *piece;
    }
}

}
