#include "http/connectionpool.h"
#include "http/ihttpclient.h"
#include "http/internal/clientconnection.h"
#include "http/internal/clientmessages.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>

namespace rosemaryshift::http {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr auto Token = net::as_tuple(net::use_awaitable);
/// Size of the buffer for reading a body.
constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Delay after which a read that goes on although it was cancelled is cancelled again.
constexpr std::chrono::milliseconds RepeatedCancelDelay{10};
/// Largest accepted body of an answer.
constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;

class Exchange : public IExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
        : m_executor(executor)
        , m_pool(std::move(pool))
        , m_timer(executor)
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
            if (endReached()) {
                failure = timeoutFailure();
                co_return std::nullopt;
            }
            startTimer(m_timeouts.body);
            const auto [error, bytes] = co_await bhttp::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, Token);
            const bool expired = stopTimer(error, bytes);
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

    void cancel() override
    {
        m_cancelled = true;
        net::post(m_executor, [self = shared_from_this()] {
            if (self->m_connection) {
                self->m_connection->stream.close();
            }
        });
    }

    void setSilenceHandler(SilenceHandler handler) override
    {
        m_silenceHandler = std::move(handler);
    }

    void setEnd(std::chrono::steady_clock::time_point end) override
    {
        m_timeouts.end = end;
    }

    [[nodiscard]] bool hasUnread() override
    {
        return m_connection && m_connection->unreadBytes() > 0;
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
        m_connection->stream.expires_at(expiry(m_timeouts.connect));
        const auto [error] = co_await m_connection->stream.async_connect(net::ip::tcp::endpoint(address, endpoint.port), Token);
        if (error || m_cancelled) {
            failure = {m_cancelled ? ClientError::Cancelled : ClientError::ConnectFailed, endpoint.text() + ": " + error.message()};
            co_return false;
        }
        m_connection->setOptions();
        co_return true;
    }

    net::awaitable<bool> send(const Endpoint &endpoint, Request request, ClientFailure &failure)
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

    net::awaitable<std::optional<Response>> readHead(ClientFailure &failure)
    {
        m_parser.emplace();
        m_parser->body_limit(MaxBodyBytes);
        m_parser->skip(m_isHead);
        while (!endReached()) {
            startTimer(m_timeouts.header);
            const auto [error, bytes] = co_await bhttp::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, Token);
            const bool expired = stopTimer(error, bytes);
            if (!error) {
                Response response = toResponse(*m_parser);
                m_framing = response.framing;
                co_return response;
            }
            if (!expired) {
                failure = failureOf(error, ClientError::Closed);
                co_return std::nullopt;
            }
            const bool readsOn = co_await mayReadOn();
            if (!readsOn) {
                break;
            }
        }
        failure = timeoutFailure();
        co_return std::nullopt;
    }

    /// Has the next read cancelled after @p timeout, or at the end of the whole exchange. The connection stays open then.
    void startTimer(std::chrono::milliseconds timeout)
    {
        m_connection->stream.expires_never();
        m_expired = false;
        ++m_timerNumber;
        cancelReadAt(expiry(timeout));
    }

    void cancelReadAt(std::chrono::steady_clock::time_point time)
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

    /// Stops the timer after a read that ended with @p error and consumed @p bytes. Returns whether the timer has cancelled the read.
    bool stopTimer(beast::error_code error, std::size_t bytes)
    {
        ++m_timerNumber;
        m_timer.cancel();
        if (m_bytesAtEnd) {
            *m_bytesAtEnd -= std::min(bytes, *m_bytesAtEnd);
        }
        return m_expired && error == net::error::operation_aborted && !m_cancelled;
    }

    /// Whether to repeat a read that the timer has cancelled: when the host is late, bytes have arrived before the timer is handled.
    net::awaitable<bool> mayReadOn()
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

    /// Whether the end of the exchange has passed, and what had arrived by then is parsed.
    bool endReached()
    {
        if (!m_bytesAtEnd && m_timeouts.end && std::chrono::steady_clock::now() >= *m_timeouts.end) {
            m_bytesAtEnd = m_connection->buffer.size() + m_connection->unreadBytes();
        }
        return m_bytesAtEnd == 0;
    }

    /// When an operation with this @p timeout ends that starts now; not beyond the end of the whole exchange.
    [[nodiscard]] std::chrono::steady_clock::time_point expiry(std::chrono::milliseconds timeout) const
    {
        const std::chrono::steady_clock::time_point expiry = std::chrono::steady_clock::now() + timeout;
        return m_timeouts.end ? std::min(expiry, *m_timeouts.end) : expiry;
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
        const std::optional<std::chrono::milliseconds> idleTimeout = statedIdleTimeout(*m_parser);
        m_pool->keep(m_endpoint, std::move(m_connection), idleTimeout);
    }

    [[nodiscard]] ClientFailure failureOf(beast::error_code error, ClientError fallback) const
    {
        if (m_cancelled) {
            return {ClientError::Cancelled, "cancelled"};
        }
        const bool ended = error == bhttp::error::end_of_stream || error == bhttp::error::partial_message;
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

    [[nodiscard]] ClientFailure timeoutFailure()
    {
        m_connection->stream.close();
        return failureOf(beast::error::timeout, ClientError::Closed);
    }

    net::any_io_executor m_executor;
    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<ClientConnection> m_connection;
    std::optional<ResponseParser> m_parser;
    std::string m_readBuffer;
    ClientTimeouts m_timeouts;
    SilenceHandler m_silenceHandler;
    net::steady_timer m_timer;
    std::uint64_t m_timerNumber = 0;         ///< Counts starts and stops of the timer.
    bool m_expired = false;                  ///< The timer has expired during the current read.
    std::optional<std::size_t> m_bytesAtEnd; ///< Bytes that had arrived at the end of the exchange and are not parsed yet; nothing before that.
    Endpoint m_endpoint;
    bool m_isHead = false;
    BodyFraming m_framing = BodyFraming::Length; ///< Of the current answer.
    std::atomic<bool> m_cancelled = false;
};

}

std::shared_ptr<IExchange> makeExchange(const net::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool)
{
    return std::make_shared<Exchange>(executor, std::move(pool));
}

}
