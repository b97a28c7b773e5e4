#pragma once

#include "base/types.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace rosemaryshift::limits {

/// How far the usage of a workspace, summed over all hosts, may exceed its quota.
struct QuotaTolerance {
    double excess = 0; ///< Tolerated excess as a fraction of the quota.
    double slack = 0;  ///< Constant tolerated in addition, in the unit of the quota.
};

/// When another host sends its usage reports. This host may handle a report late, and several at once.
struct ReportTiming {
    TimePoint sentAt;  ///< Sending time on the other host's clock; only differences between reports of the same start are meaningful.
    Duration interval; ///< Time until its next report.
};

/// Enforces the quotas of all workspaces at one host with token buckets. Hosts that receive each other's usage reports keep copies of one pooled
/// bucket: each subtracts its own callers' usage at once, the usage of other hosts when they report it, and an estimate of what those hosts have
/// used since their last report. While the bucket is nearly empty, each host admits at random as large a part of the requests as the quota allows, so
/// that many hosts do not use what is left at the same moment. The share of hosts that do not report is left out of the pooled bucket, so that the total stays
/// within the quota during a network partition. A host that receives no reports is limited to its own share. A bucket may go negative by one request, so that a
/// request larger than the bucket's capacity passes occasionally. The current time is passed to each call. Not thread-safe.
class WorkspaceQuotas
{
public:
    /// Callers are granted a part of @p tolerance on top of the quota, because hosts learn of each other's usage late and would otherwise refuse
    /// requests that the quota allows.
    /// @p seed: differs between the hosts, which choose at random which requests they admit of a quota that is nearly used up.
    explicit WorkspaceQuotas(QuotaTolerance tolerance = {}, std::uint64_t seed = 0);

    /// Applies the quotas of a new configuration. Workspaces that already had a quota keep their bucket levels.
    void configure(std::span<const routing::Workspace> workspaces, TimePoint now);
    /// Sets this host's share of a workspace's quota, 0 to 1.
    void setShare(const std::string &workspace, double share, TimePoint now);

    /// Sets what callers of a workspace request per second at all hosts, in the unit of its quota.
    void setTotalDemand(const std::string &workspace, double perSecond);

    /// Sets whether any other host reports its usage; if so, the pooled bucket applies, otherwise this host's own share.
    void setPooled(bool pooled, TimePoint now);
    /// Sets the fraction of a workspace's quota, 0 to 1, that the hosts which receive each other's reports may use together.
    void setPooledFraction(const std::string &workspace, double fraction, TimePoint now);
    /// Applies a usage report: the total that another host has used of each workspace's quota since it started. @p hostStart identifies the host
    /// and the start, as totals begin anew when a host restarts.
    void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now);
    /// Drops the usage of a host that is gone.
    void forgetPeer(const std::string &hostStart);

    /// Takes @p cost from the workspace's quota. Returns nothing when the request may proceed, otherwise the time until it may.
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now);
    /// Returns @p cost to the workspace's quota after a request that did not run.
    void refund(const std::string &workspace, double cost);
    /// Returns what this host has used of each workspace's quota since it started, to be reported to the other hosts.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &used() const;
    /// Returns the moving average of what callers of each workspace request per second at this host, including what was refused.
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const;

private:
    /// A token bucket.
    struct Bucket {
        double rate = 0; ///< Refill per second.
        double capacity = 0;
        double level = 0; ///< Negative when the bucket is in debt.
        TimePoint refilledAt;

        /// Adds what the bucket has gained since the last refill. @p unreported is use that its level still includes.
        void refill(TimePoint now, double unreported = 0);
    };
    struct Quota {
        double perSecond = 0; ///< 0 means no limit.
        double burst = 0;
        double share = 0;
        double pooledFraction = 1;
        double totalDemand = 0; ///< Requested per second at all hosts; 0 when unknown.
        Bucket own;             ///< Limits this host to its share.
        Bucket pooled;          ///< Limits all hosts that report their usage to the pooled fraction of the quota.
        double demand = 0;      ///< Moving average per second at @c demandUpdatedAt.
        TimePoint demandUpdatedAt;
    };
    /// Usage of one workspace reported by another host since its start.
    struct PeerUse {
        std::uint64_t used = 0;
        double rate = 0;     ///< Usage per second between the last two reports.
        double interval = 0; ///< Seconds until the next report.
        TimePoint sentAt;    ///< When the last report was sent, estimated on this host's clock.
    };
    /// Sending times of another host's reports.
    struct PeerClock {
        TimePoint sentAt; ///< Of the last report, on the other host's clock.
        Duration offset;  ///< What this host's clock is ahead of the other one, as shown by the report that was handled soonest after its sending.
    };

    void resize(const std::string &workspace, Quota &quota, TimePoint now) const;
    /// Refills the pooled bucket and returns the estimated use that other hosts have not reported yet, which its level still includes.
    double refillPooled(const std::string &workspace, Quota &quota, TimePoint now) const;
    /// The level that decides on a request while the pooled bucket applies. @p pooled, @p own: levels of the two buckets with what is granted on top.
    /// While the quota is scarce, admits a random part of the requests, in proportion to the level and to the quota's part of the demand.
    [[nodiscard]] double pooledLevel(const Quota &quota, double pooled, double own, TimePoint now);
    /// Estimates what the other hosts have used since their last reports.
    [[nodiscard]] double estimatedUnreportedUse(const std::string &workspace, TimePoint now) const;
    /// How far apart the reports of the other hosts are, as a multiple of the interval of a small fleet; at least 1.
    [[nodiscard]] double reportSpread() const;
    /// Number of intervals, beyond the usual one, in which this host has handled no reports at all.
    [[nodiscard]] double missedIntervals(TimePoint now) const;

    const QuotaTolerance m_tolerance;
    std::map<std::string, Quota> m_quotas;
    std::map<std::string, std::uint64_t> m_used;
    std::map<std::string, PeerClock> m_peers;                        ///< By host.
    std::map<std::string, std::map<std::string, PeerUse>> m_peerUse; ///< By workspace and host.
    TimePoint m_lastReportAt;                                        ///< When this host last handled a report.
    Duration m_lastReportInterval{0};
    bool m_pooled = false;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_fraction;
};

/// Returns this host's share of a workspace's quota, 0 to 1: one part is split evenly among the hosts, so that a host without callers can serve
/// its first ones, and the rest in proportion to the demand at each host. Thread-safe.
double quotaShare(double ownDemand, double totalDemand, std::size_t hosts);

}
