#pragma once

#include "limits/iquotarule.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace rosemaryshift::limits {

/// Enforces the quotas of all workspaces at one host with token buckets. Hosts that receive each other's usage reports keep copies of one pooled
/// bucket: each subtracts its own callers' usage at once, the usage of other hosts when they report it, and an estimate of what those hosts have
/// used since their last report. While the bucket is nearly empty, each host admits at random as large a part of the requests as the quota allows, so
/// that many hosts do not use what is left at the same moment. The share of hosts that do not report is left out of the pooled bucket, so that the total stays
/// within the quota during a network partition. A host that receives no reports is limited to its own share. A bucket may go negative by one request, so that a
/// request larger than the bucket's capacity passes occasionally. The current time is passed to each call. Not thread-safe.
class WorkspaceQuotas : public IQuotaRule
{
public:
    /// Callers are granted a part of @p tolerance on top of the quota, because hosts learn of each other's usage late and would otherwise refuse
    /// requests that the quota allows.
    /// @p seed: differs between the hosts, which choose at random which requests they admit of a quota that is nearly used up.
    explicit WorkspaceQuotas(QuotaTolerance tolerance = {}, std::uint64_t seed = 0);

    void configure(std::span<const routing::Workspace> workspaces, TimePoint now) override;
    void setShare(const std::string &workspace, double share, TimePoint now) override;
    void setTotalDemand(const std::string &workspace, double perSecond) override;
    void setPooled(bool pooled, TimePoint now) override;
    void setPooledFraction(const std::string &workspace, double fraction, TimePoint now) override;
    void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now) override;
    /// Has no effect: the demand of all hosts is set by setTotalDemand().
    void updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand) override;
    void forgetPeer(const std::string &hostStart) override;
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now) override;
    void refund(const std::string &workspace, double cost) override;
    [[nodiscard]] const std::map<std::string, std::uint64_t> &used() const override;
    void adoptUsed(std::map<std::string, std::uint64_t> used) override;
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const override;

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
