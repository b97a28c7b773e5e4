#pragma once

#include "http/connectionpool.h"
#include "http/ihttpclient.h"
#include "http/internal/clientconnection.h"
#include "http/internal/clientmessages.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <atomic>

namespace rosemaryshift::http {

/// The exchange of makeExchange().
class Exchange : public IExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(const boost::asio::any_io_executor &executor, std::shared_ptr<ConnectionPool> pool);
    ~Exchange() override;
    boost::asio::awaitable<std::optional<Response>>
    open(const Endpoint &endpoint, RequestSource source, ClientTimeouts timeouts, ClientFailure &failure) override;
    boost::asio::awaitable<std::optional<Response>> openNext(ClientFailure &failure) override;
    boost::asio::awaitable<std::optional<std::string>> readSome(ClientFailure &failure) override;
    void cancel() override;
    void setSilenceHandler(SilenceHandler handler) override;
    void setEnd(std::chrono::steady_clock::time_point end) override;
    [[nodiscard]] bool hasUnread() override;
    [[nodiscard]] bool reused() const override;

private:
    boost::asio::awaitable<bool> connect(const Endpoint &endpoint, ClientFailure &failure);
    boost::asio::awaitable<bool> send(const Endpoint &endpoint, Request request, ClientFailure &failure);
    /// Reads the head of the final answer.
    boost::asio::awaitable<std::optional<Response>> readHead(ClientFailure &failure);
    /// Reads and parses the next head. Returns why it is not valid, empty when it is; nothing, with @p failure set, when it does not arrive or can't be parsed.
    boost::asio::awaitable<std::optional<std::string_view>> parseHead(ClientFailure &failure);
    /// Reads until the buffer holds a whole head.
    boost::asio::awaitable<bool> awaitHead(ClientFailure &failure);
    /// The same, until the timer cancels it.
    boost::asio::awaitable<boost::system::error_code> receiveHead();
    /// Has the next read cancelled after @p timeout, or at the end of the whole exchange. The connection stays open then.
    void startTimer(std::chrono::milliseconds timeout);
    void cancelReadAt(std::chrono::steady_clock::time_point time);
    /// Stops the timer after a read that ended with @p error. Returns whether the timer has cancelled the read.
    bool stopTimer(boost::system::error_code error);
    void noteParsed(std::size_t bytes);
    /// Whether to repeat a read that the timer has cancelled: when the host is late, bytes have arrived before the timer is handled.
    boost::asio::awaitable<bool> mayReadOn();
    /// Whether the end of the exchange has passed, and what had arrived by then is parsed.
    bool endReached();
    /// When an operation with this @p timeout ends that starts now; not beyond the end of the whole exchange.
    [[nodiscard]] std::chrono::steady_clock::time_point expiry(std::chrono::milliseconds timeout) const;
    /// Gives the connection to the pool before a request was sent on it.
    void keepUnusedConnection();
    /// Returns the connection to the pool if the answer was read to its end and the server keeps it open.
    void returnConnection();
    [[nodiscard]] ClientFailure failureOf(boost::system::error_code error, ClientError fallback) const;
    [[nodiscard]] ClientFailure timeoutFailure();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<ConnectionPool> m_pool;
    std::unique_ptr<ClientConnection> m_connection;
    std::optional<ResponseParser> m_parser;
    std::string m_readBuffer;
    ClientTimeouts m_timeouts;
    SilenceHandler m_silenceHandler;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_timerNumber = 0;         ///< Counts starts and stops of the timer.
    bool m_expired = false;                  ///< The timer has expired during the current read.
    std::optional<std::size_t> m_bytesAtEnd; ///< Bytes that had arrived at the end of the exchange and are not parsed yet; nothing before that.
    Endpoint m_endpoint;
    bool m_isHead = false;
    BodyFraming m_framing = BodyFraming::Length; ///< Of the current answer.
    std::atomic<bool> m_cancelled = false;
};

}
