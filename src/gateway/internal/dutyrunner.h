#pragma once

#include "duties/dutylease.h"
#include "duties/upstreamplanner.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/gossipendpoint.h"

#include <boost/asio/awaitable.hpp>

#include <set>

namespace rosemaryshift::gateway {

/// Takes part in the lease on the singleton duties, and performs them while this host holds it. Used from the gateway's thread.
class DutyRunner
{
public:
    DutyRunner(GatewayContext &context, GossipEndpoint &gossip, duties::UsageCollector &usage);

    /// Runs for ever.
    boost::asio::awaitable<void> run();
    /// Whether this host holds the duties now.
    [[nodiscard]] bool holds() const;

private:
    boost::asio::awaitable<void> keepLease();
    boost::asio::awaitable<void> release();
    boost::asio::awaitable<void> append(const duties::DutyRecord &next, TimePoint began);
    boost::asio::awaitable<void> readRecord();
    boost::asio::awaitable<void> reportUsage();
    boost::asio::awaitable<void> planUpstreams();
    [[nodiscard]] std::vector<ports::UsageReport> decided(TimePoint now);
    [[nodiscard]] bool complete(std::uint64_t window, TimePoint now) const;
    [[nodiscard]] duties::ServiceLoad serviceLoad(const routing::Service &service, const std::map<std::string, double> &busy) const;
    [[nodiscard]] ports::DutyHolder dutyHolder() const;
    void noteHolding();

    GatewayContext &m_context;
    GossipEndpoint &m_gossip;
    duties::UsageCollector &m_usage;
    duties::DutyLease m_lease;
    duties::UpstreamPlanner m_planner;
    std::set<std::uint64_t> m_reported; ///< Windows that the platform has acknowledged to this host.
    std::uint64_t m_firstWindow;        ///< The window in which this process started.
    std::optional<TimePoint> m_planned;
    bool m_holding = false;
    std::optional<std::uint64_t> m_lastFence; ///< Of the last time this host held the duties.
};

}
