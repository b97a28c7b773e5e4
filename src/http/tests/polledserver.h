#pragma once

#include "http/ihttpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rosemaryshift::http::testing {

/// A reported request, with copies of its texts.
struct ReportedRequest {
    UnansweredCause cause = UnansweredCause::NotAnswered;
    std::string detail;
    std::string id;
    bool received = false;
    bool answerBegun = false;
    std::size_t bytesRead = 0;
};

/// A server whose event loop runs only while the test lets it, so that the test decides what becomes due in the same turn.
class PolledServer
{
public:
    PolledServer(const ServerLimits &limits, RequestHandler handler);
    ~PolledServer();

    /// Opens a connection, which the server accepts with its next turn.
    boost::asio::ip::tcp::socket connect();
    /// Runs the event loop until it has nothing more to do at the moment.
    void poll();
    /// Runs the event loop until @p condition holds; false when it does not within 5 s.
    bool pollUntil(const std::function<bool()> &condition);
    /// Runs the event loop until @p caller has received @p text, or its connection has ended; returns what it received.
    std::string receive(boost::asio::ip::tcp::socket &caller, std::string_view text);
    /// Has the event loop, when it runs again, handle the expiry of a timer of @p time before anything else that has become due, and call @p action then.
    void runBeforeTimers(std::chrono::milliseconds time, std::function<void()> action);

    IHttpServer &server();
    boost::asio::io_context &context();
    /// The requests reported as unanswered so far.
    [[nodiscard]] const std::vector<ReportedRequest> &reports() const;

private:
    class Observer;

    boost::asio::io_context m_context;
    boost::asio::io_context m_callerContext;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<Observer> m_observer;
    std::unique_ptr<IHttpServer> m_server;
};

/// Sends @p bytes to the server.
void send(boost::asio::ip::tcp::socket &caller, std::string_view bytes);

}
