#pragma once

#include "http/ihttpserver.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <memory>

namespace rosemaryshift::http {

/// What all connections of a server look at.
struct ServerState {
    std::atomic<bool> stopping = false; ///< Idle connections close.
    std::atomic<bool> closing = false;  ///< Connections close behind their next answer.
};

/// One accepted connection: reads requests one after the other and hands them to the handler. Runs on its own strand.
class Connection : public std::enable_shared_from_this<Connection>, public IResponseWriter
{
public:
    Connection(boost::asio::ip::tcp::socket socket, const ServerLimits &limits, const RequestHandler &handler, const ServerState &state);

    /// Serves until the connection ends. Precondition: started once, on the strand of the socket.
    boost::asio::awaitable<void> run();
    /// Closes the connection if it waits for a next request; a first one gets a short time to come. Thread-safe.
    void closeIfIdle();

    boost::asio::awaitable<bool> respond(Response response) override;
    boost::asio::awaitable<bool> begin(int status, Headers headers) override;
    boost::asio::awaitable<bool> write(std::string_view piece) override;
    boost::asio::awaitable<bool> end() override;
    void abort() override;
    void onCallerGone(std::function<void()> callback) override;
    [[nodiscard]] bool callerGone() const override;
    [[nodiscard]] bool started() const override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<std::optional<Request>> readRequest();
    boost::asio::awaitable<bool> readBody(Parser &parser);
    /// Cancels the pending read after @p timeout; the stream's own timeout would close the socket, and no answer could be sent.
    void startDeadline(std::chrono::milliseconds timeout);
    /// True when the read was cancelled for being late.
    bool stopDeadline();
    boost::asio::awaitable<void> refuse(boost::beast::error_code error);
    boost::asio::awaitable<void> serve(Request request);
    boost::asio::awaitable<void> watchCaller(std::shared_ptr<bool> answered);
    boost::asio::awaitable<void> linger();
    enum class Peeked : std::uint8_t {
        Nothing, ///< The wait ended without cause; the connection is open.
        Bytes,
        Closed,
    };
    [[nodiscard]] Peeked peek();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_deadline;
    boost::beast::flat_buffer m_buffer;
    const ServerLimits &m_limits;
    const RequestHandler &m_handler;
    const ServerState &m_state;
    std::function<void()> m_callerGone;
    std::shared_ptr<bool> m_answered;
    unsigned int m_version = 11;
    bool m_keepAlive = true;
    bool m_chunked = true;
    bool m_started = false;
    bool m_idle = false;
    bool m_served = false; ///< At least one request was handed to the handler.
    bool m_open = true;
    bool m_head = false;
    bool m_late = false;
};

}
