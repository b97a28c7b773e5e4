#include "http/internal/exchange.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Size of the buffer for reading a body.
constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Bytes of a head that are read at a time.
constexpr std::size_t HeadReadBytes = 2 * 1024;
/// Delay after which a read that goes on although it was cancelled is cancelled again.
constexpr std::chrono::milliseconds RepeatedCancelDelay{10};
/// Interim answers (1xx) that are skipped before the final one; a faulty server may send them without end.
constexpr int MaxInterimAnswers = 16;
constexpr std::string_view EndOfHead = "\r\n\r\n";
/// Largest accepted body of an answer.
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

std::string_view bytesOf(net::const_buffer buffer)
{
    return {static_cast<const char *>(buffer.data()), buffer.size()};
}

}

net::awaitable<std::optional<std::string>> Exchange::readSome(ClientFailure &failure)
{
    if (m_readBuffer.empty()) {
        m_readBuffer.resize(ReadBufferBytes);
    }
    while (!m_parser->is_done()) {
        m_parser->get().body().data = m_readBuffer.data();
        m_parser->get().body().size = m_readBuffer.size();
        if (endReached()) {
            failure = timeoutFailure();
            co_return std::nullopt;
        }
        startTimer(m_timeouts.body);
        const auto [error, bytes] = co_await bhttp::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, Token);
        const bool expired = stopTimer(error);
        noteParsed(bytes);
        const std::size_t length = m_readBuffer.size() - m_parser->get().body().size;
        if (length > 0 && (!error || error == bhttp::error::need_buffer)) {
            co_return std::string(m_readBuffer.data(), length);
        }
        if (expired) {
            const bool readsOn = co_await mayReadOn();
            if (readsOn) {
                continue;
            }
        }
        if (error && error != bhttp::error::need_buffer) {
            failure = expired ? timeoutFailure() : failureOf(error, ClientError::Closed);
            co_return std::nullopt;
        }
    }
    if (m_framing == BodyFraming::Connection && m_connection->error) {
        failure = failureOf(m_connection->error, ClientError::Closed);
        co_return std::nullopt;
    }
    co_return std::string();
}

net::awaitable<std::optional<Response>> Exchange::readHead(ClientFailure &failure)
{
    for (int heads = 0; heads <= MaxInterimAnswers; ++heads) {
        const std::optional<std::string_view> fault = co_await parseHead(failure);
        if (!fault) {
            co_return std::nullopt;
        }
        if (!fault->empty()) {
            failure = {ClientError::Malformed, std::string(*fault)};
            co_return std::nullopt;
        }
        if (!isInterim(*m_parser)) {
            Response response = toResponse(*m_parser);
            m_framing = response.framing;
            co_return response;
        }
    }
    failure = {ClientError::Malformed, "too many interim answers"};
    co_return std::nullopt;
}

net::awaitable<std::optional<std::string_view>> Exchange::parseHead(ClientFailure &failure)
{
    m_parser.emplace();
    m_parser->body_limit(MaxBodyBytes);
    m_parser->skip(m_isHead);
    const bool arrived = co_await awaitHead(failure);
    if (!arrived) {
        co_return std::nullopt;
    }
    beast::error_code error;
    const net::const_buffer bytes = m_connection->buffer.data();
    const std::size_t length = m_parser->put(bytes, error);
    if (error) {
        failure = failureOf(error, ClientError::Malformed);
        co_return std::nullopt;
    }
    const std::optional<std::string_view> fault = headFault(bytesOf(bytes).substr(0, length), *m_parser);
    m_connection->buffer.consume(length);
    noteParsed(length);
    co_return fault.value_or(std::string_view());
}

net::awaitable<bool> Exchange::awaitHead(ClientFailure &failure)
{
    while (!endReached()) {
        startTimer(m_timeouts.header);
        const beast::error_code error = co_await receiveHead();
        const bool expired = stopTimer(error);
        if (!error) {
            co_return true;
        }
        if (!expired) {
            failure = failureOf(error, ClientError::Closed);
            co_return false;
        }
        const bool readsOn = co_await mayReadOn();
        if (!readsOn) {
            break;
        }
    }
    failure = timeoutFailure();
    co_return false;
}

net::awaitable<beast::error_code> Exchange::receiveHead()
{
    beast::flat_buffer &buffer = m_connection->buffer;
    while (bytesOf(buffer.data()).find(EndOfHead) == std::string_view::npos) {
        if (buffer.size() == buffer.max_size()) {
            co_return bhttp::error::header_limit;
        }
        const net::mutable_buffer space = buffer.prepare(std::min(HeadReadBytes, buffer.max_size() - buffer.size()));
        const auto [error, length] = co_await m_connection->stream.async_read_some(space, Token);
        buffer.commit(length);
        if (error) {
            co_return error;
        }
    }
    co_return beast::error_code();
}

void Exchange::startTimer(std::chrono::milliseconds timeout)
{
    m_connection->stream.expires_never();
    m_expired = false;
    ++m_timerNumber;
    cancelReadAt(expiry(timeout));
}

void Exchange::cancelReadAt(std::chrono::steady_clock::time_point time)
{
    m_timer.expires_at(time);
    m_timer.async_wait([weak = weak_from_this(), number = m_timerNumber](beast::error_code error) {
        const std::shared_ptr<Exchange> self = weak.lock();
        // The handler of a timer that was stopped may have been queued before.
        if (!error && self && self->m_connection && self->m_timerNumber == number) {
            self->m_expired = true;
            self->m_connection->stream.cancel();
            // Cancelling has no effect between two parts of a read.
            self->cancelReadAt(std::chrono::steady_clock::now() + RepeatedCancelDelay);
        }
    });
}

bool Exchange::stopTimer(beast::error_code error)
{
    ++m_timerNumber;
    m_timer.cancel();
    return m_expired && error == net::error::operation_aborted && !m_cancelled;
}

void Exchange::noteParsed(std::size_t bytes)
{
    if (m_bytesAtEnd) {
        *m_bytesAtEnd -= std::min(bytes, *m_bytesAtEnd);
    }
}

net::awaitable<bool> Exchange::mayReadOn()
{
    if (m_bytesAtEnd) {
        co_return false;
    }
    if (m_connection->unreadBytes() > 0) {
        co_return true;
    }
    if (!m_silenceHandler || endReached()) {
        co_return false;
    }
    const bool givesUp = co_await m_silenceHandler();
    co_return !givesUp && !m_cancelled;
}

bool Exchange::endReached()
{
    if (!m_bytesAtEnd && m_timeouts.end && std::chrono::steady_clock::now() >= *m_timeouts.end) {
        m_bytesAtEnd = m_connection->buffer.size() + m_connection->unreadBytes();
    }
    return m_bytesAtEnd == 0;
}

}
