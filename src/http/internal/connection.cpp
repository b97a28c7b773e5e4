#include "http/internal/connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Part of the idle timeout for which an answer says that its connection is kept. The rest is for the caller's next request to arrive, so that it does not
/// cross the close.
constexpr double StatedIdlePart = 0.8;

}

Connection::Connection(
    net::ip::tcp::socket socket, const ServerLimits &limits, const RequestHandler &handler, const ServerState &state, std::shared_ptr<IServerObserver> observer)
    : m_socket(std::move(socket))
    , m_deadline(m_socket.get_executor())
    , m_limits(limits)
    , m_memory(limits.memory)
    , m_handler(handler)
    , m_state(state)
    , m_progress(std::move(observer))
{
    beast::error_code ignored;
    m_socket.non_blocking(true, ignored);
}

net::awaitable<void> Connection::run()
{
    try {
        co_await serveRequests();
    } catch (const std::exception &exception) {
        m_progress.noteException(exception.what());
        m_progress.end();
    }
    beast::error_code ignored;
    m_socket.shutdown(net::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

net::awaitable<void> Connection::serveRequests()
{
    while (m_open && m_keepAlive) {
        m_progress.start(m_buffer.size());
        const bool served = co_await serveNext();
        m_progress.end();
        if (!served) {
            co_return;
        }
    }
}

net::awaitable<bool> Connection::serveNext()
{
    if (!co_await waitForRequest()) {
        co_return false;
    }
    std::optional<Request> request = co_await readRequest();
    if (!request) {
        co_return false;
    }
    m_progress.noteReceived();
    co_await serve(std::move(*request));
    m_memory.release();
    co_return true;
}

net::awaitable<void> Connection::serve(Request request)
{
    m_started = false;
    m_begun = false;
    m_answered = std::make_shared<bool>(false);
    m_callerGoneCallback = nullptr;
    m_served = true;
    try {
        co_await m_handler(std::move(request), *this);
    } catch (const std::exception &exception) {
        m_progress.noteException(exception.what());
    }
    *m_answered = true;
    m_callerGoneCallback = nullptr;
    if (m_open && !m_progress.answered()) {
        co_await completeAnswer();
    }
}

net::awaitable<void> Connection::completeAnswer()
{
    m_progress.noteFailure(UnansweredCause::NotAnswered, {});
    m_progress.end();
    m_keepAlive = false;
    if (m_begun) {
        abort();
        co_return;
    }
    Response response;
    response.status = 500;
    response.headers.add("Content-Type", "application/json");
    response.body = R"({"error":{"message":"the request may have run, and its answer is missing","type":"server_error","code":"internal_error"}})";
    co_await respond(std::move(response));
}

net::awaitable<bool> Connection::respond(Response response)
{
    if (m_begun) {
        m_progress.noteFailure(UnansweredCause::Aborted, "a second answer");
        abort(); // The caller would take a second head for a part of the first answer's body.
        co_return false;
    }
    bhttp::response<bhttp::string_body> message(static_cast<bhttp::status>(response.status), m_version);
    for (const Header &field : response.headers.all()) {
        message.insert(field.name, field.value);
    }
    m_keepAlive = m_keepAlive && !m_state.closing;
    message.keep_alive(m_keepAlive);
    stateKeepAlive(message);
    message.body() = std::move(response.body);
    message.prepare_payload();
    bhttp::response_serializer<bhttp::string_body> serializer(message);
    serializer.split(m_isHead);
    m_started = true;
    m_progress.noteAnswerBegun();
    startWriteDeadline();
    beast::error_code error;
    if (m_isHead) {
        std::tie(error, std::ignore) = co_await bhttp::async_write_header(m_socket, serializer, Token);
    } else {
        std::tie(error, std::ignore) = co_await bhttp::async_write(m_socket, serializer, Token);
    }
    if (!error) {
        m_progress.noteAnswered();
    }
    co_return noteWritten(error);
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
    stateKeepAlive(message);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    m_started = true;
    m_begun = true;
    m_progress.noteAnswerBegun();
    startWriteDeadline();
    const auto [error, bytes] = co_await bhttp::async_write_header(m_socket, serializer, Token);
    co_return noteWritten(error);
}

net::awaitable<bool> Connection::write(std::string_view piece)
{
    if (piece.empty()) {
        co_return m_open;
    }
    startWriteDeadline();
    beast::error_code error;
    const net::const_buffer buffer(piece.data(), piece.size());
    if (m_chunked) {
        std::tie(error, std::ignore) = co_await net::async_write(m_socket, bhttp::make_chunk(buffer), Token);
    } else {
        std::tie(error, std::ignore) = co_await net::async_write(m_socket, buffer, Token);
    }
    co_return noteWritten(error);
}

net::awaitable<bool> Connection::end()
{
    m_begun = false;
    if (!m_chunked) {
        setResetOnClose(false);
        if (m_open) {
            m_progress.noteAnswered();
        }
        co_return m_open;
    }
    startWriteDeadline();
    const auto [error, bytes] = co_await net::async_write(m_socket, bhttp::make_chunk_last(), Token);
    if (!error) {
        m_progress.noteAnswered();
    }
    co_return noteWritten(error);
}

void Connection::stateKeepAlive(bhttp::fields &fields) const
{
    const std::chrono::seconds stated = std::chrono::duration_cast<std::chrono::seconds>(m_limits.idleTimeout * StatedIdlePart);
    if (m_keepAlive && stated.count() > 0) {
        fields.set(bhttp::field::keep_alive, "timeout=" + std::to_string(stated.count()));
    }
}

bool Connection::noteWritten(beast::error_code error)
{
    stopDeadline();
    if (error == net::error::operation_aborted && m_timedOut) {
        error = beast::error::timeout;
    }
    if (error) {
        m_progress.noteWriteFailure(error);
    }
    m_open = m_open && !error;
    return !error;
}

void Connection::setResetOnClose(bool reset)
{
    beast::error_code ignored;
    m_socket.set_option(net::socket_base::linger(reset, 0), ignored);
}

void Connection::abort()
{
    m_progress.noteFailure(UnansweredCause::Aborted, {});
    m_open = false;
    beast::error_code ignored;
    m_socket.close(ignored);
}

void Connection::onCallerGone(std::function<void()> callback)
{
    m_callerGoneCallback = std::move(callback);
    net::co_spawn(
        m_socket.get_executor(), [self = shared_from_this(), answered = m_answered] { return self->watchCaller(answered); }, net::detached);
}

net::awaitable<void> Connection::watchCaller(std::shared_ptr<bool> answered)
{
    PeekResult result = PeekResult::Empty;
    while (result == PeekResult::Empty) {
        const auto [error] = co_await m_socket.async_wait(net::ip::tcp::socket::wait_read, Token);
        if (*answered || !m_socket.is_open()) {
            co_return;
        }
        // A cancelled wait says nothing about the caller.
        const bool failed = error && error != net::error::operation_aborted;
        if (failed) {
            m_progress.noteReadFailure(error);
        }
        result = failed ? PeekResult::Closed : peek();
    }
    if (result == PeekResult::Bytes) {
        co_return;
    }
    m_progress.noteFailure(UnansweredCause::CallerLeft, {});
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
    const ssize_t count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
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
    if (m_open && peek() == PeekResult::Closed) {
        m_progress.noteFailure(UnansweredCause::CallerLeft, {});
        m_open = false;
    }
    return !m_open;
}

void Connection::setRequestId(std::string_view id)
{
    m_progress.setId(id);
}

bool Connection::started() const
{
    return m_started;
}

}
