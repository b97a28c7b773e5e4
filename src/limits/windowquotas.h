#pragma once

#include "limits/iquotarule.h"
#include "limits/quotause.h"
#include "limits/usagewindow.h"

#include <array>
#include <random>
#include <vector>

namespace rosemaryshift::limits {

/// Enforces the quotas of all workspaces at one host by the bound on sliding windows: (rate x window + burst) x (1 + excess) + slack, summed over all hosts.
///
/// Each host keeps the usage of all hosts within the window: its own at once, that of the others as they report it, and for the time since each report the
/// part of that host's demand which this host itself admitted meanwhile. What remains below the bound is the room. While the room exceeds what all hosts may
/// admit before they hear of each other, each request is admitted; else each host admits at random the same part of its requests, so that together they use
/// the room within that time. The room of a host whose reports are overdue, its share of what remained at its last report, is held for it.
///
/// The random part varies: the bound is reduced by a multiple of the standard deviation of what is admitted between two reports. Not thread-safe.
class WindowQuotas : public IQuotaRule
{
public:
    /// Precondition: @p tolerance has a window.
    /// @p seed: differs between the hosts, which choose at random which requests they admit of a quota that is nearly used up.
    WindowQuotas(QuotaTolerance tolerance, std::uint64_t seed);

    void configure(std::span<const routing::Workspace> workspaces, TimePoint now) override;
    /// The share counts while no other host is known.
    void setShare(const std::string &workspace, double share, TimePoint now) override;
    /// Has no effect: the demand of the hosts is taken from their reports.
    void setTotalDemand(const std::string &workspace, double perSecond) override;
    /// Has no effect: which hosts report is taken from their reports.
    void setPooled(bool pooled, TimePoint now) override;
    /// Has no effect: what is held for hosts that are not heard follows from the age of their reports.
    void setPooledFraction(const std::string &workspace, double fraction, TimePoint now) override;
    void updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now) override;
    void updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand) override;
    void forgetPeer(const std::string &hostStart) override;
    std::optional<Duration> take(const std::string &workspace, double cost, TimePoint now) override;
    void refund(const std::string &workspace, double cost) override;
    [[nodiscard]] const std::map<std::string, std::uint64_t> &used() const override;
    void adoptUsed(std::map<std::string, std::uint64_t> used) override;
    [[nodiscard]] std::map<std::string, double> demand(TimePoint now) const override;

    /// The state of each limited workspace.
    [[nodiscard]] std::vector<QuotaUse> uses(TimePoint now);
    /// Number of totals that were ignored because no host can have used as much.
    [[nodiscard]] std::uint64_t ignoredReports() const;

private:
    /// The room is meant to last for this multiple of the time in which hosts hear of each other, so that demand may rise at once.
    static constexpr double RoomMultiple = 3;

    /// What another host has told of one workspace.
    struct PeerUse {
        std::uint64_t used = 0;
        double demand = 0;     ///< Moving average, as reported.
        double demandNow = 0;  ///< Requested per second between the last reports.
        double demandBase = 0; ///< An earlier moving average, from which demandNow is computed.
        TimePoint demandBaseAt;
        double weight = 1; ///< Demand as a multiple of the hosts' mean, over a longer time.
        std::optional<TimePoint> weighedAt;
        std::optional<double> heldShare; ///< What is held for the host while its reports are overdue.
    };
    /// Another host.
    struct Peer {
        std::string start; ///< Identifies the start of its process.
        TimePoint sentAt;  ///< When its last report was sent, on its clock.
        Duration offset{0};
        Duration interval{0};
        TimePoint known;                     ///< When its last report was sent, on this host's clock.
        std::optional<TimePoint> heardAgain; ///< After a gap between its reports.
        std::vector<PeerUse> uses;           ///< By the index of the quota.
    };
    struct Quota {
        explicit Quota(Duration window);

        std::size_t index = 0; ///< The same for a workspace as long as this rule is in force.
        std::size_t unit = 0;  ///< Index in m_meanCosts.
        double perSecond = 0;  ///< 0 means no limit.
        double burst = 0;
        double share = 0;
        double demand = 0; ///< Moving average per second at @c demandUpdatedAt.
        TimePoint demandUpdatedAt;
        UsageWindow used;           ///< Known usage of all hosts.
        UsageWindow admittedParts;  ///< Seconds, each multiplied by the part of the requests that this host admitted in it.
        double room = 0;            ///< What is left of the bound.
        double spare = 0;           ///< What this host may admit at once.
        double unheard = 0;         ///< Estimated usage that has not been reported.
        double held = 0;            ///< Part of unheard that is held for hosts whose reports are overdue.
        double heldShares = 0;      ///< Share of the quota for which part of the window is held.
        double uncertainShares = 0; ///< As heldShares, with the hosts that were not heard within the window.
        double demandOfPeers = 0;   ///< Requested per second at the other hosts that are heard.
        double demandHeard = 0;     ///< Requested per second at this host and those that are heard.
        double probability = 1;     ///< Part of the requests that is admitted.
        double totalDemand = 0;     ///< Moving average of what is requested per second at all hosts, as they last reported it.
        double weights = 0;         ///< Sum of the weights of all hosts.
        double ownWeight = 1;       ///< This host's demand as a multiple of the hosts' mean, over a longer time.
        TimePoint computedAt;
        double turn = 0;       ///< Grows by the probability with each request; one is admitted when it reaches 1, so that the parts are even.
        double rounding = 0.5; ///< Part of a request's cost that the room must hold for it to be admitted; random.
        double granted = 0;
        double refused = 0;
    };

    /// What @p peer has told of @p quota.
    [[nodiscard]] static PeerUse &useOf(Peer &peer, const Quota &quota);
    /// The bound on the usage in each window.
    [[nodiscard]] double bound(double perSecond, double burst) const;
    /// Computes the room and the part of the requests to admit.
    void compute(Quota &quota, TimePoint now);
    /// How far the reports of @p peer are overdue, from 0 to 1.
    [[nodiscard]] static double overduePart(const Peer &peer, TimePoint now);
    /// Sums the demand of the hosts. Returns what is requested at the other hosts now, as a multiple of their moving averages.
    double sumDemand(Quota &quota, TimePoint now);
    /// Computes what the other hosts may have used since their last reports.
    void addUnheard(Quota &quota, double bound, TimePoint now);
    /// Takes the @p demand of a host into its @p weight.
    void noteWeight(const Quota &quota, double &weight, double demand, Duration elapsed) const;
    /// Applies the usage that @p peer has reported of one workspace.
    void applyUse(Quota &quota, PeerUse &use, std::uint64_t total, std::pair<TimePoint, TimePoint> period);
    void noteDemand(Quota &quota, double cost, TimePoint now);
    /// Time within which a usage report of each host reaches the others.
    [[nodiscard]] double reactionSeconds() const;

    const QuotaTolerance m_tolerance;
    const double m_windowSeconds;
    std::map<std::string, Quota> m_quotas;
    std::map<std::string, std::uint64_t> m_used;
    std::map<std::string, Peer> m_peers;          ///< By host.
    std::array<double, 2> m_meanCosts{};          ///< Of this host's requests by the unit of their quotas, each weighted by its cost.
    Duration m_interval{0};                       ///< Between the reports of a host.
    std::map<std::string, std::size_t> m_indexes; ///< Of the quotas, by workspace.
    std::uint64_t m_ignoredReports = 0;
    std::optional<TimePoint> m_startedAt;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_fraction;
};

}
