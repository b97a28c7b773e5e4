#include "base/text.h"
#include "http/internal/connection.h"
#include "http/internal/requestfaults.h"
#include "http/internal/transfercoding.h"

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
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;
/// When a caller may return whose request did not fit into the memory; others are answered meanwhile.
constexpr std::string_view RetryAfterSeconds = "0.5";
/// Maximum number of bytes of one read.
constexpr std::size_t ReadBytes = 4096;
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
    startDeadline(m_state.stopping ? FirstRequestTimeoutOnStop : m_limits.idleTimeout);
    if (m_state.stopping && m_served) {
        expireDeadline();
    }
    const beast::error_code error = co_await readSome();
    m_idle = false;
    stopDeadline();
    co_return !error;
}

net::awaitable<std::optional<Request>> Connection::readRequest()
{
    Parser parser;
    parser.header_limit(m_limits.headerBytes);
    parser.body_limit(m_limits.bodyBytes);
    startDeadline(m_limits.headerTimeout);
    beast::error_code error = co_await parse(parser, &Parser::is_header_done);
    stopDeadline();
    if (!error && !isBodyReadable(parser.get(), parser.get().version())) {
        error = bhttp::error::bad_transfer_encoding;
    }
    if (error) {
        co_await refuse(error);
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
        co_await net::async_write(m_socket, net::buffer(Continue), Token);
    }
    parser.eager(true);
    const beast::error_code error = co_await parse(parser, &Parser::is_done);
    stopDeadline();
    if (error) {
        co_await refuse(error);
        co_return false;
    }
    co_return true;
}

net::awaitable<beast::error_code> Connection::parse(Parser &parser, ParserState state)
{
    while (!(parser.*state)()) {
        beast::error_code error = bhttp::error::need_more;
        if (m_buffer.size() > 0) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
        }
        if (error == bhttp::error::need_more && m_buffer.size() >= m_limits.headerBytes) {
            error = bhttp::error::buffer_overflow; // The size line of a chunk or the trailer has no end, as the parser bounds the header itself.
        }
        if (error == bhttp::error::need_more) {
            error = co_await readSome();
        }
        if (!m_memory.resize(m_buffer.size() + parser.get().body().size())) {
            error = make_error_code(boost::system::errc::not_enough_memory);
        }
        if (error == net::error::eof && parser.got_some()) {
            parser.put_eof(error);
        } else if (error == net::error::eof) {
            error = bhttp::error::end_of_stream;
        }
        if (error) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

net::awaitable<beast::error_code> Connection::readSome()
{
    const net::mutable_buffer space = m_buffer.prepare(ReadBytes);
    beast::error_code error = net::error::operation_aborted;
    std::size_t bytes = 0;
    if (!m_timedOut) {
        std::tie(error, bytes) = co_await m_socket.async_read_some(space, Token);
    }
    if (error == net::error::operation_aborted && m_timedOut) {
        // A late event loop handles the timer before it notices bytes that have arrived in time.
        bytes = m_socket.read_some(space, error);
        error = error == net::error::would_block ? beast::error_code(beast::error::timeout) : error;
    }
    m_buffer.commit(bytes);
    m_progress.noteRead(bytes);
    co_return error;
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
    if (fault.status == ServiceUnavailable) {
        response.headers.add("Retry-After", RetryAfterSeconds);
    }
    const std::string type = fault.status < FirstServerError ? "invalid_request_error" : "server_error";
    response.body = R"({"error":{"message":")" + std::string(fault.message) + R"(","type":")" + type + R"(","code":")" + std::string(fault.code) + R"("}})";
    co_await respond(std::move(response));
    co_await discardInput();
}

net::awaitable<void> Connection::discardInput()
{
    beast::error_code ignored;
    m_socket.shutdown(net::ip::tcp::socket::shutdown_send, ignored);
    startDeadline(DiscardTimeout);
    std::size_t discarded = 0;
    beast::error_code error;
    while (!error && discarded < MaxDiscardedBytes) {
        m_buffer.clear();
        error = co_await readSome();
        discarded += m_buffer.size();
    }
    stopDeadline();
}

void Connection::closeIfIdle()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_idle) {
            return;
        }
        if (self->m_served) {
            self->expireDeadline();
        } else {
            self->startDeadline(FirstRequestTimeoutOnStop);
        }
    });
}

}
