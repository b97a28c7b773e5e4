#include "base/text.h"
#include "http/internal/connection.h"
#include "http/internal/requestfaults.h"

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
    m_progress.noteRead(bytes);
    stopDeadline();
    if (error) {
        m_progress.noteFailure(error == beast::error::timeout ? UnansweredCause::IdleTimeout : UnansweredCause::ReadFailed, error.message());
    }
    co_return !error;
}

net::awaitable<std::optional<Request>> Connection::readRequest()
{
    Parser parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.bodyBytes);
    startDeadline(m_limits.headerTimeout);
    const std::size_t buffered = m_buffer.size();
    const auto [error, bytes] = co_await bhttp::async_read_header(m_stream, m_buffer, parser, Token);
    m_progress.noteRead(bytes + m_buffer.size() - buffered);
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
    const std::size_t buffered = m_buffer.size();
    const auto [error, bytes] = co_await bhttp::async_read(m_stream, m_buffer, parser, Token);
    m_progress.noteRead(bytes + m_buffer.size() - buffered);
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
        m_progress.noteReadFailure(error);
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

void Connection::closeIfIdle()
{
    net::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (!self->m_idle) {
            return;
        }
        if (self->m_served) {
            self->m_stream.cancel();
        } else {
            self->startDeadline(FirstRequestTimeoutOnStop);
        }
    });
}

}
