#pragma once

#include "limits/iquotarule.h"
#include "limits/quotause.h"

#include <memory>
#include <vector>

namespace rosemaryshift::limits {

class WindowQuotas;

/// The quota rule in force at one host. Which rule that is follows from the configuration; the usage that this host reports goes on when it changes, as other
/// hosts would take a smaller total for a restart. Not thread-safe.
class QuotaEnforcement : public IQuotaRule
{
public:
    /// @p seed: differs between the hosts.
    QuotaEnforcement(QuotaTolerance tolerance, std::uint64_t seed);

    /// Puts the rule of sliding windows in force, or the rule of token buckets. Without a window in the tolerance that is always the latter. A rule that is
    /// newly in force knows of no earlier usage until configure() and the next reports. Returns whether the rule has changed.
    bool useWindows(bool windows);
    /// The state of each limited workspace; empty while the rule of token buckets is in force.
    [[nodiscard]] std::vector<QuotaUse> uses(TimePoint now);
    /// Number of usage totals that the rule of sliding windows has ignored because no host can have used as much.
    [[nodiscard]] std::uint64_t ignoredReports() const;

    void configure(std::span<const routing::Workspace> workspaces, TimePoint now) override;
    void setShare(const std::string &workspace, double share, TimePoint now) override;
    void setTotalDemand(const std::string &workspace, double perSecond) override;
    void setPooled(bool pooled, TimePoint now) override;
    void setPooledFraction(const std::string &workspace, double fraction, TimePoint now) override;
    void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now) override;
    void updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand) override;
    void forgetPeer(const std::string &hostStart) override;
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now) override;
    void refund(const std::string &workspace, double cost) override;
    [[nodiscard]] const std::map<std::string, std::uint64_t> &used() const override;
    void adoptUsed(std::map<std::string, std::uint64_t> used) override;
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const override;

private:
    const QuotaTolerance m_tolerance;
    const std::uint64_t m_seed;
    std::unique_ptr<IQuotaRule> m_rule;
    WindowQuotas *m_windows = nullptr; ///< m_rule, while it is the rule of sliding windows.
};

}
