#include "http/internal/connection.h"

#include "base/text.h"
#include "http/internal/requestfaults.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Bounds on discarding a refused request's remaining bytes.
constexpr std::size_t MaxDiscardedBytes = 64 * 1024;
constexpr std::chrono::milliseconds DiscardTimeout{500};
/// Time within which a connection must send its first request once the server stops.
constexpr std::chrono::milliseconds FirstRequestTimeoutOnStop{1'000};

Request toRequest(bhttp::request<bhttp::string_body> &&message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.add(field.name_string(), field.value());
    }
    request.body = std::move(message.body());
    return request;
}

}

Connection::Connection(net::ip::tcp::socket socket, const ServerLimits &limits, const RequestHandler &handler, const ServerState &state)
    : m_stream(std::move(socket))
    , m_deadline(m_stream.get_executor())
    , m_limits(limits)
    , m_handler(handler)
    , m_state(state)
{
}

net::awaitable<void> Connection::run()
{
    while (m_open && m_keepAlive && !(m_state.stopping && m_served)) {
        if (!co_await waitForRequest()) {
            break;
        }
        std::optional<Request> request = co_await readRequest();
        if (!request) {
            break;
        }
        co_await serve(std::move(*request));
    }
    beast::error_code ignored;
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

net::awaitable<bool> Connection::waitForRequest()
{
    if (m_buffer.size() > 0) {
        co_return true;
    }
    m_idle = true;
    if (m_state.stopping) {
        startDeadline(FirstRequestTimeoutOnStop);
    } else {
        m_stream.expires_after(m_limits.idleTimeout);
    }
    const auto [error, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(4096), Token);
    m_idle = false;
    m_buffer.commit(bytes);
    stopDeadline();
    co_return !error;
}

net::awaitable<std::optional<Request>> Connection::readRequest()
{
    Parser parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.bodyBytes);
    startDeadline(m_limits.headerTimeout);
    const auto [error, bytes] = co_await bhttp::async_read_header(m_stream, m_buffer, parser, Token);
    const bool timedOut = stopDeadline();
    if (error) {
        co_await refuse(timedOut ? beast::error_code(beast::error::timeout) : error);
        co_return std::nullopt;
    }
    if (!co_await readBody(parser)) {
        co_return std::nullopt;
    }
    m_version = parser.get().version();
    m_keepAlive = parser.get().keep_alive();
    m_isHead = parser.get().method() == bhttp::verb::head;
    co_return toRequest(parser.release());
}

net::awaitable<bool> Connection::readBody(Parser &parser)
{
    startDeadline(m_limits.bodyTimeout);
    if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue") && !parser.is_done()) {
        constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await net::async_write(m_stream, net::buffer(Continue), Token);
    }
    const auto [error, bytes] = co_await bhttp::async_read(m_stream, m_buffer, parser, Token);
    const bool timedOut = stopDeadline();
    if (error) {
        co_await refuse(timedOut ? beast::error_code(beast::error::timeout) : error);
        co_return false;
    }
    co_return true;
}

void Connection::startDeadline(std::chrono::milliseconds timeout)
{
    m_stream.expires_never();
    m_timedOut = false;
    m_deadline.expires_after(timeout);
    m_deadline.async_wait([self = shared_from_this()](beast::error_code error) {
        if (!error) {
            self->m_timedOut = true;
            self->m_stream.cancel();
        }
    });
}

bool Connection::stopDeadline()
{
    m_deadline.cancel();
    return m_timedOut;
}

net::awaitable<void> Connection::refuse(beast::error_code error)
{
    m_open = false;
    if (!needsAnswer(error)) {
        co_return;
    }
    const RequestFault fault = requestFault(error);
    m_keepAlive = false;
    m_started = false;
    Response response;
    response.status = fault.status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Rosemaryshift-Run", name(RunState::NotRun));
    response.body
        = R"({"error":{"message":")" + std::string(fault.message) + R"(","type":"invalid_request_error","code":")" + std::string(fault.code) + R"("}})";
    co_await respond(std::move(response));
    co_await discardInput();
}

net::awaitable<void> Connection::discardInput()
{
    beast::error_code ignored;
    m_stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(DiscardTimeout);
    std::size_t discarded = 0;
    while (discarded < MaxDiscardedBytes) {
        m_buffer.clear();
        const auto [error, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(4096), Token);
        if (error) {
            co_return;
        }
        discarded += bytes;
    }
}

net::awaitable<void> Connection::serve(Request request)
{
    m_started = false;
    m_begun = false;
    m_answered = std::make_shared<bool>(false);
    m_callerGoneCallback = nullptr;
    m_served = true;
    co_await m_handler(std::move(request), *this);
    *m_answered = true;
    m_callerGoneCallback = nullptr;
}

void Connection::closeIfIdle()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (!self->m_idle || self->peek() == PeekResult::Bytes) {
            return;
        }
        if (self->m_served) {
            self->m_stream.cancel();
        } else {
            self->startDeadline(FirstRequestTimeoutOnStop);
        }
    });
}

net::awaitable<bool> Connection::respond(Response response)
{
    if (m_begun) {
        abort(); // The caller would take a second head for a part of the first answer's body.
        co_return false;
    }
    bhttp::response<bhttp::string_body> message(static_cast<bhttp::status>(response.status), m_version);
    for (const Header &field : response.headers.all()) {
        message.insert(field.name, field.value);
    }
    m_keepAlive = m_keepAlive && !m_state.closing;
    message.keep_alive(m_keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    bhttp::response_serializer<bhttp::string_body> serializer(message);
    serializer.split(m_isHead);
    m_started = true;
    m_stream.expires_after(m_limits.writeTimeout);
    beast::error_code error;
    if (m_isHead) {
        std::tie(error, std::ignore) = co_await bhttp::async_write_header(m_stream, serializer, Token);
    } else {
        std::tie(error, std::ignore) = co_await bhttp::async_write(m_stream, serializer, Token);
    }
    m_open = m_open && !error;
    co_return !error;
}

net::awaitable<bool> Connection::begin(int status, Headers headers)
{
    bhttp::response<bhttp::empty_body> message(static_cast<bhttp::status>(status), m_version);
    for (const Header &field : headers.all()) {
        message.insert(field.name, field.value);
    }
    m_chunked = m_version >= 11;
    if (!m_chunked) {
        setResetOnClose(true);
    }
    m_keepAlive = m_keepAlive && m_chunked && !m_state.closing;
    message.chunked(m_chunked);
    message.keep_alive(m_keepAlive);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    m_started = true;
    m_begun = true;
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [error, bytes] = co_await bhttp::async_write_header(m_stream, serializer, Token);
    m_open = m_open && !error;
    co_return !error;
}

net::awaitable<bool> Connection::write(std::string_view piece)
{
    if (piece.empty()) {
        co_return m_open;
    }
    m_stream.expires_after(m_limits.writeTimeout);
    beast::error_code error;
    const net::const_buffer buffer(piece.data(), piece.size());
    if (m_chunked) {
        std::tie(error, std::ignore) = co_await net::async_write(m_stream, bhttp::make_chunk(buffer), Token);
    } else {
        std::tie(error, std::ignore) = co_await net::async_write(m_stream, buffer, Token);
    }
    m_open = m_open && !error;
    co_return !error;
}

net::awaitable<bool> Connection::end()
{
    m_begun = false;
    if (!m_chunked) {
        setResetOnClose(false);
        co_return m_open;
    }
    m_stream.expires_after(m_limits.writeTimeout);
    const auto [error, bytes] = co_await net::async_write(m_stream, bhttp::make_chunk_last(), Token);
    m_open = m_open && !error;
    co_return !error;
}

void Connection::setResetOnClose(bool reset)
{
    beast::error_code ignored;
    m_stream.socket().set_option(net::socket_base::linger(reset, 0), ignored);
}

void Connection::abort()
{
    m_open = false;
    m_stream.close();
}

void Connection::onCallerGone(std::function<void()> callback)
{
    m_callerGoneCallback = std::move(callback);
    net::co_spawn(
        m_stream.get_executor(), [self = shared_from_this(), answered = m_answered] { return self->watchCaller(answered); }, net::detached);
}

net::awaitable<void> Connection::watchCaller(std::shared_ptr<bool> answered)
{
    PeekResult result = PeekResult::Empty;
    while (result == PeekResult::Empty) {
        const auto [error] = co_await m_stream.socket().async_wait(net::ip::tcp::socket::wait_read, Token);
        if (*answered) {
            co_return;
        }
        result = error ? PeekResult::Closed : peek();
    }
    if (result == PeekResult::Bytes) {
        co_return;
    }
    m_open = false;
    const std::function<void()> callback = std::exchange(m_callerGoneCallback, nullptr);
    if (callback) {
        callback();
    }
}

Connection::PeekResult Connection::peek()
{
    if (m_buffer.size() > 0) {
        return PeekResult::Bytes;
    }
    char byte = 0;
    const ssize_t count = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return PeekResult::Bytes;
    }
    const bool stillOpen = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return stillOpen ? PeekResult::Empty : PeekResult::Closed;
}

bool Connection::callerGone() const
{
    return !m_open;
}

bool Connection::detectCallerGone()
{
    m_open = m_open && peek() != PeekResult::Closed;
    return !m_open;
}

bool Connection::started() const
{
    return m_started;
}

}
