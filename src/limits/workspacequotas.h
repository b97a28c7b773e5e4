#pragma once

#include "base/types.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace rosemaryshift::limits {

/// How far the use of a workspace's quota, summed over all hosts, may be above it.
struct QuotaTolerance {
    double excess = 0; ///< As a part of the quota.
    double slack = 0;  ///< Beyond that, in the unit of the quota.
};

/// The quotas of all workspaces as one host enforces them. The hosts that hear each other follow one bucket: each takes from it what its own
/// callers use at once, what others say they have used when it hears of it, and what they have probably used since. What silent hosts may use
/// is left out of that bucket, so that the sum holds though hosts are cut off. A host that hears nobody keeps to its own share. Buckets may run into debt by
/// one request, so that a request larger than the bucket passes now and then. Time comes in with each call. Not thread-safe.
class WorkspaceQuotas
{
public:
    /// A part of what @p tolerance allows is given to callers, so that hosts that know of each other's use late do not refuse what the quota allows.
    explicit WorkspaceQuotas(QuotaTolerance tolerance = {});

    /// Takes the quotas of a new configuration; what a workspace has used stays counted.
    void configure(std::span<const routing::Workspace> workspaces, TimePoint now);
    /// Takes this host's share of a workspace's quota, 0 to 1.
    void setShare(const std::string &workspace, double share, TimePoint now);

    /// Whether any other host is heard.
    void setPooled(bool pooled, TimePoint now);
    /// Takes the part of a workspace's quota, 0 to 1, that the hosts that hear each other may use together.
    void setPooledFraction(const std::string &workspace, double part, TimePoint now);
    /// Takes what one start of another host has used of each workspace's quota since that start.
    void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, TimePoint now);
    /// Forgets a start of a host that is gone.
    void forgetPeer(const std::string &hostStart);

    /// Takes @p cost from the workspace's quota; nothing when that passes, else the time until it will.
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now);
    /// Gives back what a request that did not run had taken.
    void refund(const std::string &workspace, double cost);
    /// What this host has used of each workspace's quota since it started, for the other hosts.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &used() const;
    /// What callers of each workspace ask for a second, refused or not, as a moving average.
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const;

private:
    /// A token bucket.
    struct Bucket {
        double rate = 0; ///< A second.
        double capacity = 0;
        double level = 0;
        TimePoint filled;

        void fill(TimePoint now);
    };
    struct Quota {
        double perSecond = 0; ///< 0 means no limit.
        double burst = 0;
        double share = 0;
        double pooledFraction = 1;
        Bucket own;        ///< This host's share.
        Bucket pooled;     ///< The whole quota.
        double demand = 0; ///< A second, decaying.
        TimePoint demanded;
    };
    /// What one start of another host has used.
    struct PeerUse {
        std::map<std::string, std::uint64_t> used;
        std::map<std::string, double> rate; ///< A second, between the last two times that it was heard.
        TimePoint heard;
    };

    void resize(Quota &quota, TimePoint now) const;
    [[nodiscard]] double probablyUsed(const std::string &workspace, TimePoint now) const;

    const QuotaTolerance m_tolerance;
    std::map<std::string, Quota> m_quotas;
    std::map<std::string, std::uint64_t> m_used;
    std::map<std::string, PeerUse> m_peers;
    bool m_pooled = false;
};

/// Demand of one workspace at all hosts, and how this host's part of a quota follows from it. A part of the quota is split evenly, so that
/// a host that gets its first callers has something to give. Thread-safe.
double quotaShare(double ownDemand, double totalDemand, std::size_t hosts);

}
