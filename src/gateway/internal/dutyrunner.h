#pragma once

#include "duties/dutylease.h"
#include "duties/upstreamplanner.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/gossipendpoint.h"

#include <boost/asio/awaitable.hpp>

#include <set>

namespace rosemaryshift::gateway {

/// Competes for the lease on the singleton duties (reporting usage and scaling upstreams), and performs them while this host holds it. Used from the
/// gateway's thread.
class DutyRunner
{
public:
    DutyRunner(GatewayContext &context, GossipEndpoint &gossip, duties::UsageCollector &usageCollector);

    /// Renews the lease and performs the duties until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// Whether this host holds the lease now.
    [[nodiscard]] bool holds() const;
    /// Fencing token of the lease that this host holds, or has held last.
    [[nodiscard]] std::uint64_t fence() const;

private:
    boost::asio::awaitable<void> claimOrRenewLease();
    boost::asio::awaitable<void> releaseLease();
    boost::asio::awaitable<void> appendRecord(const duties::DutyRecord &next, TimePoint startedAt);
    boost::asio::awaitable<void> readRecord();
    boost::asio::awaitable<void> reportUsage();
    boost::asio::awaitable<void> scaleServices();
    /// The windows with final counts for the next lease record: those of the last record and, while this host holds the lease, newly complete ones.
    [[nodiscard]] std::vector<ports::UsageReport> decidedWindows(TimePoint now);
    /// Whether the counts of a window are final, so that they can be reported.
    [[nodiscard]] bool isComplete(std::uint64_t window, TimePoint now) const;
    [[nodiscard]] duties::ServiceLoad serviceLoad(const routing::Service &service, const std::map<std::string, double> &busy) const;
    [[nodiscard]] ports::DutyHolder dutyHolder() const;
    /// Logs and handles a change of holds() since the last call.
    void updateHolding();

    GatewayContext &m_context;
    GossipEndpoint &m_gossip;
    duties::UsageCollector &m_usageCollector;
    duties::DutyLease m_lease;
    duties::UpstreamPlanner m_planner;
    std::set<std::uint64_t> m_reportedWindows; ///< Windows whose report by this host the platform has acknowledged.
    std::uint64_t m_firstWindow;               ///< The window in which this process started.
    std::optional<TimePoint> m_plannedAt;      ///< When the numbers of replicas were last planned.
    bool m_wasHolding = false;
    std::optional<std::uint64_t> m_lastFencingToken; ///< Fencing token of the last time that this host held the lease.
};

}
