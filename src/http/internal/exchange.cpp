#include "http/internal/exchange.h"

#include <boost/beast/http.hpp>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);

}

Exchange::Exchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
    : m_executor(executor)
    , m_pool(std::move(pool))
    , m_timer(executor)
{
}

Exchange::~Exchange()
{
    returnConnection();
}

net::awaitable<std::optional<Response>> Exchange::open(const Endpoint &endpoint, RequestSource source, ClientTimeouts timeouts, ClientFailure &failure)
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

net::awaitable<std::optional<Response>> Exchange::openNext(ClientFailure &failure)
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

void Exchange::cancel()
{
    m_cancelled = true;
    net::post(m_executor, [self = shared_from_this()] {
        if (self->m_connection) {
            self->m_connection->stream.close();
        }
    });
}

void Exchange::setSilenceHandler(SilenceHandler handler)
{
    m_silenceHandler = std::move(handler);
}

void Exchange::setEnd(std::chrono::steady_clock::time_point end)
{
    m_timeouts.end = end;
}

bool Exchange::hasUnread()
{
    return m_connection && m_connection->unreadBytes() > 0;
}

bool Exchange::reused() const
{
    return m_connection && m_connection->exchanges > 1;
}

net::awaitable<bool> Exchange::connect(const Endpoint &endpoint, ClientFailure &failure)
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
    m_connection->stream.expires_at(expiry(m_timeouts.connect));
    const auto [error] = co_await m_connection->stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), Token);
    if (error || m_cancelled) {
        failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text() + ": " + error.message()};
        co_return false;
    }
    m_connection->setOptions();
    co_return true;
}

net::awaitable<bool> Exchange::send(const Endpoint &endpoint, Request request, ClientFailure &failure)
{
    const bhttp::request<bhttp::string_body> message = toMessage(endpoint, std::move(request), m_pool != nullptr);
    m_connection->stream.expires_at(expiry(m_timeouts.header));
    const auto [error, bytes] = co_await bhttp::async_write(m_connection->stream, message, Token);
    if (error) {
        failure = failureOf(error, ClientError::SendFailed);
        co_return false;
    }
    co_return true;
}

std::chrono::steady_clock::time_point Exchange::expiry(std::chrono::milliseconds timeout) const
{
    const std::chrono::steady_clock::time_point expiry = std::chrono::steady_clock::now() + timeout;
    return m_timeouts.end ? std::min(expiry, *m_timeouts.end) : expiry;
}

void Exchange::keepUnusedConnection()
{
    if (m_pool && !m_cancelled) {
        m_pool->keepUnused(m_endpoint, std::move(m_connection));
    }
    m_connection.reset();
}

void Exchange::returnConnection()
{
    if (!m_pool || !m_connection || m_cancelled || !m_parser || !m_parser->is_done() || !m_parser->keep_alive() || m_connection->buffer.size() > 0) {
        return;
    }
    const std::optional<std::chrono::milliseconds> idleTimeout = statedIdleTimeout(*m_parser);
    m_pool->keep(m_endpoint, std::move(m_connection), idleTimeout);
}

ClientFailure Exchange::failureOf(beast::error_code error, ClientError fallback) const
{
    if (m_cancelled) {
        return {ClientError::Cancelled, "cancelled"};
    }
    const bool ended = error == net::error::eof || error == bhttp::error::end_of_stream || error == bhttp::error::partial_message;
    if (ended && m_connection->error) {
        error = m_connection->error;
    }
    // The system reports a timeout of its own when the peer does not acknowledge what was sent.
    if (error == beast::error::timeout || error == net::error::timed_out) {
        if (m_pool) {
            // A network fault that broke this connection may have broken all idle connections to the endpoint.
            m_pool->drop(m_endpoint);
        }
        return {ClientError::TimedOut, "nothing came within the timeout"};
    }
    if (error == bhttp::error::buffer_overflow || error == bhttp::error::header_limit) {
        return {ClientError::Malformed, "a head, the size line of a chunk or a trailer is too long"};
    }
    if (!ended && error.category() == make_error_code(bhttp::error::bad_method).category()) {
        return {ClientError::Malformed, error.message()};
    }
    return {fallback, error.message()};
}

ClientFailure Exchange::timeoutFailure()
{
    m_connection->stream.close();
    return failureOf(beast::error::timeout, ClientError::Closed);
}

std::shared_ptr<IExchange> makeExchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
{
    return std::make_shared<Exchange>(executor, std::move(pool));
}

}
