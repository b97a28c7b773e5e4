#pragma once

#include "base/types.h"
#include "routing/routingtypes.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace rosemaryshift::limits {

/// What a quota may let through beyond its rate, as the operators promise it.
struct QuotaPromise {
    Duration window{std::chrono::seconds(8)}; ///< The sum over all hosts is bounded for each window of this length.
    double excess = 0.1;                      ///< Part of the quota that the sum may lie above it.
};

/// This host's part of the quotas of all workspaces. Each is a token bucket that may run into debt by one request, so that a request
/// larger than the bucket passes now and then. Time comes in with each call. Not thread-safe.
class WorkspaceQuotas
{
public:
    /// Takes the quotas of a new configuration; what a workspace has used stays counted.
    void configure(std::span<const routing::Workspace> workspaces, TimePoint now);
    /// Takes this host's share of a workspace's quota, 0 to 1.
    void setShare(const std::string &workspace, double share, TimePoint now);

    /// Takes @p cost from the workspace's part; nothing when that passes, else the time until it will.
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now);
    /// Gives back what a request that did not run had taken.
    void giveBack(const std::string &workspace, double cost);
    /// What callers of each workspace ask for a second, refused or not, as a moving average.
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const;

private:
    struct Bucket {
        double perSecond = 0; ///< 0 means no limit.
        double burst = 0;
        double share = 0;
        double level = 0;
        TimePoint filled;
        double demand = 0; ///< A second, decaying.
        TimePoint demanded;
    };

    static void fill(Bucket &bucket, TimePoint now);

    std::map<std::string, Bucket> m_buckets;
};

/// Demand of one workspace at all hosts, and how this host's part of a quota follows from it. A part of the quota is split evenly, so that
/// a host that gets its first callers has something to give. Thread-safe.
double shareOf(double ownDemand, double totalDemand, std::size_t hosts);

}
