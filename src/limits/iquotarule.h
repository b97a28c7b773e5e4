#pragma once

#include "base/types.h"
#include "routing/routingtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace rosemaryshift::limits {

/// How far the usage of a workspace, summed over all hosts, may exceed its quota.
struct QuotaTolerance {
    double excess = 0;  ///< Tolerated excess as a fraction of the quota.
    double slack = 0;   ///< Constant tolerated in addition, in the unit of the quota.
    Duration window{0}; ///< Length of the sliding windows in which the usage is judged; 0 when unknown.
};

/// When another host sends its usage reports. This host may handle a report late, and several at once.
struct ReportTiming {
    TimePoint sentAt;  ///< Sending time on the other host's clock; only differences between reports of the same start are meaningful.
    Duration interval; ///< Time until its next report.
};

/// Decides at one host which requests the quotas of their workspaces admit. The hosts tell each other what they have used and what is requested of
/// them. The current time is passed to each call. Not thread-safe.
class IQuotaRule
{
public:
    virtual ~IQuotaRule() = default;

    /// Applies the quotas of a new configuration. Workspaces that already had a quota keep what is known of their usage.
    virtual void configure(std::span<const routing::Workspace> workspaces, TimePoint now) = 0;
    /// Sets this host's share of a workspace's quota, 0 to 1.
    virtual void setShare(const std::string &workspace, double share, TimePoint now) = 0;
    /// Sets what callers of a workspace request per second at all hosts, in the unit of its quota.
    virtual void setTotalDemand(const std::string &workspace, double perSecond) = 0;
    /// Sets whether any other host reports its usage; if so, the hosts share one quota, otherwise this host has its own share.
    virtual void setPooled(bool pooled, TimePoint now) = 0;
    /// Sets the fraction of a workspace's quota, 0 to 1, that the hosts which receive each other's reports may use together.
    virtual void setPooledFraction(const std::string &workspace, double fraction, TimePoint now) = 0;
    /// Applies a usage report: the total that another host has used of each workspace's quota since it started. @p hostStart identifies the host
    /// and the start, as totals begin anew when a host restarts.
    virtual void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now) = 0;
    /// Applies what callers of each workspace request per second at another host, as demand() gives it there. Called after updatePeerUsage() with the
    /// same report.
    virtual void updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand) = 0;
    /// Drops the usage of a host that is gone.
    virtual void forgetPeer(const std::string &hostStart) = 0;

    /// Takes @p cost from the workspace's quota. Returns nothing when the request may proceed, otherwise the time until it may.
    virtual std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now) = 0;
    /// Returns @p cost to the workspace's quota after a request that did not run.
    virtual void refund(const std::string &workspace, double cost) = 0;
    /// Returns what this host has used of each workspace's quota since it started, to be reported to the other hosts.
    [[nodiscard]] virtual const std::map<std::string, std::uint64_t> &used() const = 0;
    /// Sets what used() returns, when this rule takes the place of another one in a running process.
    virtual void adoptUsed(std::map<std::string, std::uint64_t> used) = 0;
    /// Returns the moving average of what callers of each workspace request per second at this host, including what was refused.
    [[nodiscard]] virtual std::map<std::string, double> demand(TimePoint now) const = 0;
};

/// Time constant of the moving average that IQuotaRule::demand() returns.
constexpr std::chrono::seconds QuotaDemandTime{2};

}
