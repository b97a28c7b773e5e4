#pragma once

#include "http/ihttpserver.h"
#include "http/internal/requestprogress.h"
#include "http/memorybudget.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>

namespace rosemaryshift::http {

/// State of the server that all its connections read.
struct ServerState {
    std::atomic<bool> stopping = false; ///< The server stops: idle connections are closed.
    std::atomic<bool> closing = false;  ///< Connections are closed after their next answer.
};

/// One accepted connection: reads requests one after another and passes them to the handler. Runs on its own strand.
class Connection : public std::enable_shared_from_this<Connection>, public IResponseWriter
{
public:
    Connection(boost::asio::ip::tcp::socket socket,
               const ServerLimits &limits,
               const RequestHandler &handler,
               const ServerState &state,
               std::shared_ptr<IServerObserver> observer);

    /// Serves until the connection ends. Precondition: started once, on the strand of the socket.
    boost::asio::awaitable<void> run();
    /// Closes the connection if it is waiting for a further request; if it waits for its first one, within 1 s. Thread-safe.
    void closeIfIdle();

    boost::asio::awaitable<bool> respond(Response response) override;
    boost::asio::awaitable<bool> begin(int status, Headers headers) override;
    boost::asio::awaitable<bool> write(std::string_view piece) override;
    boost::asio::awaitable<bool> end() override;
    void abort() override;
    void onCallerGone(std::function<void()> callback) override;
    [[nodiscard]] bool callerGone() const override;
    bool detectCallerGone() override;
    void setRequestId(std::string_view id) override;
    [[nodiscard]] bool started() const override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> serveRequests();
    /// Reads one request and has it handled. Returns false when the connection is to be closed.
    boost::asio::awaitable<bool> serveNext();
    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<std::optional<Request>> readRequest();
    boost::asio::awaitable<bool> readBody(Parser &parser);
    using ParserState = bool (Parser::*)() const;
    /// Reads until @p state holds.
    boost::asio::awaitable<boost::beast::error_code> parse(Parser &parser, ParserState state);
    /// Reads the next bytes into the buffer. Waits for them until the deadline expires; bytes that have arrived by then are read, also later.
    boost::asio::awaitable<boost::beast::error_code> readSome();
    /// Cancels the pending read after @p timeout, and leaves the socket open, so that an answer can be sent.
    void startDeadline(std::chrono::milliseconds timeout);
    /// Cancels the pending write after the write timeout; not while the socket accepts more bytes.
    void startWriteDeadline();
    /// Calls @p expire after @p timeout, unless the deadline is stopped or started again before.
    void startTimer(std::chrono::milliseconds timeout, void (Connection::*expire)());
    /// Lets the deadline expire now.
    void expireDeadline();
    void expireWriteDeadline();
    void stopDeadline();
    /// Adds for how long the connection is kept, unless it is closed behind the answer.
    void stateKeepAlive(boost::beast::http::fields &fields) const;
    /// Records the result of a write. Returns whether it succeeded.
    bool noteWritten(boost::beast::error_code error);
    boost::asio::awaitable<void> refuse(boost::beast::error_code error);
    boost::asio::awaitable<void> serve(Request request);
    /// Answers in place of a handler that did not begin an answer, or aborts the answer that it did not end.
    boost::asio::awaitable<void> completeAnswer();
    boost::asio::awaitable<void> watchCaller(std::shared_ptr<bool> answered);
    /// Whether closing the socket resets the connection. Set while a stream without chunks is sent, whose caller would otherwise take the close for
    /// the end of the answer.
    void setResetOnClose(bool reset);
    /// Closes the sending side and discards received bytes, so that the answer is not lost to a reset of the connection.
    boost::asio::awaitable<void> discardInput();
    enum class PeekResult : std::uint8_t {
        Empty,  ///< Nothing to read; the connection is open.
        Bytes,  ///< There are unread bytes.
        Closed, ///< Closed by the caller or broken.
    };
    [[nodiscard]] PeekResult peek();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_deadline;
    boost::beast::flat_buffer m_buffer;
    const ServerLimits &m_limits;
    MemoryShare m_memory; ///< Bytes of the request that is read or handled.
    const RequestHandler &m_handler;
    const ServerState &m_state;
    RequestProgress m_progress;
    std::function<void()> m_callerGoneCallback;
    std::shared_ptr<bool> m_answered; ///< Set when the handler of the current request returns.
    unsigned int m_version = 11;      ///< HTTP version of the request: 10 for 1.0, 11 for 1.1.
    bool m_keepAlive = true;
    bool m_chunked = true;
    bool m_started = false;             ///< Sending the answer has started.
    bool m_begun = false;               ///< An answer was begun by begin() and has not ended.
    bool m_idle = false;                ///< Waiting for a request.
    bool m_served = false;              ///< At least one request was passed to the handler.
    bool m_open = true;                 ///< False once the connection is to be closed, as after a failed write or a disconnect.
    bool m_isHead = false;              ///< The current request's method is HEAD.
    bool m_timedOut = false;            ///< The deadline has expired; readSome() no longer waits.
    std::uint64_t m_deadlineNumber = 0; ///< Number of the latest deadline; the timer's handler of an earlier one may still be queued.
};

}
