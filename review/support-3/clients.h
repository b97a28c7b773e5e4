#pragma once

#include "plan.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <random>
#include <string>
#include <vector>

namespace rosemaryshift::review {

/// The clients of a deployment. Each request goes over a new connection, to the gateways in turn. Used from the thread of the event loop.
class Clients
{
public:
    Clients(boost::asio::io_context &context, Record &record, Seen &seen, const Plan &plan, std::vector<boost::asio::ip::tcp::endpoint> gateways);

    /// Sends sound requests until the traffic ends.
    boost::asio::awaitable<void> sendSound(Clock::time_point until);
    /// Sends sound requests on the second route until the traffic ends.
    boost::asio::awaitable<void> sendLookups(Clock::time_point until);
    /// Sends the deadly requests in turn, until the traffic ends, after a calm time.
    boost::asio::awaitable<void> sendDeadly(Clock::time_point until);

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Sends one request to @p path and reads its answer. @p deadly: which deadly one, counted from 1; 0 for a sound one.
    boost::asio::awaitable<void> call(std::string path, int deadly);
    [[nodiscard]] Request request(const std::string &path, const std::string &attempt, int deadly) const;
    /// Time until the next of @p perSecond requests.
    [[nodiscard]] Clock::duration gap(double perSecond);
    void noteAnswer(int status, bool whole, milliseconds sentAt);

    boost::asio::io_context &m_context;
    Record &m_record;
    Seen &m_seen;
    const Plan &m_plan;
    const std::vector<boost::asio::ip::tcp::endpoint> m_gateways;
    std::mt19937 m_random{7};
    int m_sent = 0;
};

}
