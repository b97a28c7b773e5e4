#pragma once

#include "../../platform/tests/standinplatform.h"
#include "plan.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::review {

/// A server that falls as its process would, with all its connections, and is back after some seconds. Used from the thread of the event loop.
class Server
{
public:
    Server(boost::asio::io_context &context,
           adapter::testing::StandinPlatform &platform,
           Record &record,
           Seen &seen,
           const Plan &plan,
           int index,
           std::string version = "v1");

    /// Ends for good, and is no longer listed.
    void stop();

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Starts to accept, as a process that has just started.
    void begin();
    void writeEntry();
    boost::asio::awaitable<void> beat();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> fall(std::string cause);
    boost::asio::awaitable<void> serve(Socket socket);
    /// Serves one request. Returns whether the connection stays open.
    boost::asio::awaitable<bool> handle(Socket socket, Request request);
    boost::asio::awaitable<bool> fail(Socket socket, std::string attempt);
    boost::asio::awaitable<bool> refuse(Socket socket, std::string attempt);
    /// Answers a sound request.
    boost::asio::awaitable<bool> answer(Socket socket, std::string attempt, int firstEvent);
    boost::asio::awaitable<bool> send(Socket socket, std::string text);
    boost::asio::awaitable<void> pause(milliseconds time);
    [[nodiscard]] std::string head(const std::string &attempt, std::string_view fields) const;
    /// What all answers state of the server.
    [[nodiscard]] std::string statements() const;
    [[nodiscard]] bool isBrittle() const;
    /// Number of requests that may wait now.
    [[nodiscard]] int queue() const;
    /// Which deadly request @p request is; empty for a sound one.
    [[nodiscard]] std::string deadlyKind(const Request &request) const;

    boost::asio::io_context &m_context;
    adapter::testing::StandinPlatform &m_platform;
    Record &m_record;
    Seen &m_seen;
    const Plan &m_plan;
    const std::string m_version;
    const std::string m_id;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::steady_timer m_slotFreed;
    std::set<Socket> m_open;
    std::vector<milliseconds> m_refusals; ///< Of the last second.
    long m_start = 0;                     ///< Start of the current run, in Unix milliseconds; 0 while it is down.
    std::mt19937 m_random{7};
    int m_sequence = 0;
    int m_running = 0;
    int m_waiting = 0;
};

}
