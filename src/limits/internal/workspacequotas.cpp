#include "limits/workspacequotas.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::limits {

namespace {

/// Fraction of a quota's burst that the hosts' own buckets add up to. The rest covers shares that overlap while they change.
constexpr double SharedBurstFraction = 0.5;
/// Fraction of a quota that is split evenly among the hosts.
constexpr double EvenFraction = 0.3;
/// Time constant of the moving average of demand.
constexpr double DemandSeconds = 2;
/// A host's usage is extrapolated over this number of its intervals after its last report.
constexpr double ExtrapolationIntervals = 2.5;
/// Number of intervals of a host over which its usage is extrapolated in addition while this host handles no reports at all. Those of all hosts
/// wait then, because this host is late.
constexpr double OwnDelayIntervals = 5;
/// Shortest time between two reports for which a rate is computed.
constexpr Duration MinReportInterval = std::chrono::milliseconds(50);
/// Largest relative difference between the speeds of two hosts' clocks.
constexpr double ClockDrift = 0.001;
/// Initial level of the pooled bucket as a fraction of its capacity. Not full, because usage before this host's start is unknown.
constexpr double InitialFraction = 0.3;
/// Level of the pooled bucket, as a fraction of its capacity, below which a host is also limited to its share: reports of what other hosts use
/// at the same moment would arrive too late. The fraction grows by as much with each interval in which this host handles no reports.
constexpr double ScarceFraction = 0.3;
/// Level of the pooled bucket, as a fraction of its capacity, below which a scarce quota admits a smaller part of the requests than the quota is of
/// the demand: with reports far apart, hosts that all admit as soon as the level is positive would overdraw it together.
constexpr double ReducedFraction = 0.2;
/// As ReducedFraction, for each interval of a small fleet that reports are apart: what is admitted between two reports grows with it.
constexpr double ReducedFractionPerSpread = 0.15;
/// Number of intervals without any report from which on a host relies on its own share of a scarce quota.
constexpr double MissedIntervalsForShare = 0.5;
/// Interval between reports at which the fractions here hold. With longer ones more requests are admitted at the same moment, and less can be granted.
constexpr std::chrono::milliseconds ReferenceInterval{400};
/// Fractions of the tolerated excess and slack that are granted to callers. The rest covers requests that several hosts admit at the same moment.
constexpr double GrantedExcessFraction = 0.5;
constexpr double GrantedSlackFraction = 0.3;
/// Longest retry delay that a caller is told.
constexpr double LongestWaitSeconds = 60;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}

void WorkspaceQuotas::Bucket::refill(TimePoint now, double unreported)
{
    const double gained = std::max(0.0, seconds(now - refilledAt)) * rate;
    level = std::min(level + gained, capacity + unreported);
    refilledAt = std::max(refilledAt, now);
}

WorkspaceQuotas::WorkspaceQuotas(QuotaTolerance tolerance, std::uint64_t seed)
    : m_tolerance(tolerance)
    , m_random(seed)
{
}

double WorkspaceQuotas::refillPooled(const std::string &workspace, Quota &quota, TimePoint now) const
{
    const double unreported = estimatedUnreportedUse(workspace, now);
    quota.pooled.refill(now, unreported);
    return unreported;
}

void WorkspaceQuotas::resize(const std::string &workspace, Quota &quota, TimePoint now) const
{
    const double perSecond = quota.perSecond * (1 + GrantedExcessFraction / reportSpread() * m_tolerance.excess);
    quota.own.refill(now);
    quota.own.rate = perSecond * quota.share;
    quota.own.capacity = quota.burst * SharedBurstFraction * quota.share;
    quota.own.level = std::min(quota.own.level, quota.own.capacity);
    refillPooled(workspace, quota, now);
    quota.pooled.rate = perSecond * quota.pooledFraction;
    quota.pooled.capacity = quota.burst * quota.pooledFraction;
    refillPooled(workspace, quota, now);
}

void WorkspaceQuotas::configure(std::span<const routing::Workspace> workspaces, TimePoint now)
{
    std::map<std::string, Quota> quotas;
    for (const routing::Workspace &workspace : workspaces) {
        const auto known = m_quotas.find(workspace.name);
        Quota quota;
        if (known != m_quotas.end()) {
            quota = known->second;
        } else {
            quota.own.refilledAt = now;
            quota.pooled.refilledAt = now;
            quota.pooled.capacity = workspace.burst;
            quota.pooled.level = workspace.burst * InitialFraction;
        }
        quota.perSecond = workspace.perSecond;
        quota.burst = workspace.burst;
        resize(workspace.name, quota, now);
        quotas.emplace(workspace.name, quota);
    }
    m_quotas = std::move(quotas);
}

void WorkspaceQuotas::setShare(const std::string &workspace, double share, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.share = share;
        resize(workspace, found->second, now);
    }
}

void WorkspaceQuotas::setTotalDemand(const std::string &workspace, double perSecond)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.totalDemand = perSecond;
    }
}

void WorkspaceQuotas::setPooledFraction(const std::string &workspace, double fraction, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.pooledFraction = fraction;
        resize(workspace, found->second, now);
    }
}

void WorkspaceQuotas::setPooled(bool pooled, TimePoint now)
{
    if (m_pooled && !pooled) {
        // Without reports this host knows its own usage only, so its own bucket starts with its share of what is left in the pooled one.
        for (auto &[workspace, quota] : m_quotas) {
            quota.own.refill(now);
            const double unreported = refillPooled(workspace, quota, now);
            quota.own.level = std::min(quota.own.level, (quota.pooled.level - unreported) * quota.share);
        }
    }
    m_pooled = pooled;
}

void WorkspaceQuotas::updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now)
{
    const auto [peer, isNew] = m_peers.try_emplace(hostStart, PeerClock{timing.sentAt, now - timing.sentAt});
    PeerClock &clock = peer->second;
    // A host also reports between two intervals, as to a host that is new; what it used meanwhile says little about its rate.
    const Duration elapsed = std::max({timing.sentAt - clock.sentAt, timing.interval, MinReportInterval});
    clock.offset = std::min(clock.offset + toDuration(ClockDrift * seconds(elapsed)), now - timing.sentAt);
    clock.sentAt = timing.sentAt;
    m_lastReportAt = now;
    m_lastReportInterval = timing.interval;
    for (const auto &[workspace, total] : used) {
        PeerUse &use = m_peerUse[workspace][hostStart];
        const double more = total > use.used ? static_cast<double>(total - use.used) : 0;
        use = {total, isNew ? 0 : more / seconds(elapsed), seconds(timing.interval), timing.sentAt + clock.offset};
        const auto quota = m_quotas.find(workspace);
        // The first report of a host is not charged: it covers all usage since the host started, which was refilled since or is of unknown age.
        if (!isNew && quota != m_quotas.end()) {
            quota->second.pooled.level -= more;
        }
    }
}

void WorkspaceQuotas::updatePeerDemand(const std::string & /*hostStart*/, const std::map<std::string, double> & /*demand*/)
{
}

void WorkspaceQuotas::forgetPeer(const std::string &hostStart)
{
    m_peers.erase(hostStart);
    for (auto &[workspace, hosts] : m_peerUse) {
        hosts.erase(hostStart);
    }
}

std::optional<Duration> WorkspaceQuotas::take(const std::string &workspace, double cost, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return std::nullopt;
    }
    Quota &quota = found->second;
    quota.demand = quota.demand * std::exp(-seconds(now - quota.demandUpdatedAt) / DemandSeconds) + cost / DemandSeconds;
    quota.demandUpdatedAt = now;
    if (quota.perSecond <= 0) {
        return std::nullopt;
    }
    quota.own.refill(now);
    const double unreported = refillPooled(workspace, quota, now);
    const double grantedSlack = GrantedSlackFraction / reportSpread() * m_tolerance.slack;
    const double ownLevel = quota.own.level + grantedSlack * quota.share;
    const double level = m_pooled ? pooledLevel(quota, quota.pooled.level - unreported + grantedSlack * quota.pooledFraction, ownLevel, now) : ownLevel;
    if (level > 0) {
        quota.pooled.level -= cost;
        // While the pooled bucket applies, this host may use more than its share, so the resulting debt of its own bucket is bounded.
        quota.own.level = std::max(quota.own.level - cost, m_pooled ? -quota.own.capacity - grantedSlack * quota.share : quota.own.level - cost);
        m_used[workspace] += static_cast<std::uint64_t>(cost);
        return std::nullopt;
    }
    const double rate = std::max(m_pooled ? quota.pooled.rate : quota.own.rate, 1e-6);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(-level / rate, LongestWaitSeconds)));
}

double WorkspaceQuotas::pooledLevel(const Quota &quota, double pooled, double own, TimePoint now)
{
    const double missed = missedIntervals(now);
    if (pooled >= ScarceFraction * reportSpread() * (1 + missed) * quota.pooled.capacity) {
        return pooled;
    }
    if (missed > MissedIntervalsForShare || quota.totalDemand <= 0) {
        return std::min(pooled, own);
    }
    const double fullLevel = std::max(ReducedFraction, ReducedFractionPerSpread * reportSpread()) * quota.pooled.capacity;
    const bool admitted = m_fraction(m_random) * fullLevel * quota.totalDemand < pooled * quota.pooled.rate;
    // A request that is refused may be admitted at the level at which all are.
    return admitted ? pooled : std::min(pooled - fullLevel, 0.0);
}

void WorkspaceQuotas::refund(const std::string &workspace, double cost)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return;
    }
    Quota &quota = found->second;
    quota.own.level = std::min(quota.own.level + cost, quota.own.capacity);
    quota.pooled.level = std::max(quota.pooled.level, std::min(quota.pooled.level + cost, quota.pooled.capacity));
    std::uint64_t &used = m_used[workspace];
    used -= std::min(used, static_cast<std::uint64_t>(cost));
}

const std::map<std::string, std::uint64_t> &WorkspaceQuotas::used() const
{
    return m_used;
}

void WorkspaceQuotas::adoptUsed(std::map<std::string, std::uint64_t> used)
{
    m_used = std::move(used);
}

std::map<std::string, double> WorkspaceQuotas::demand(TimePoint now) const
{
    std::map<std::string, double> all;
    for (const auto &[workspace, quota] : m_quotas) {
        all.emplace(workspace, quota.demand * std::exp(-seconds(now - quota.demandUpdatedAt) / DemandSeconds));
    }
    return all;
}

double WorkspaceQuotas::estimatedUnreportedUse(const std::string &workspace, TimePoint now) const
{
    const auto hosts = m_peerUse.find(workspace);
    if (hosts == m_peerUse.end()) {
        return 0;
    }
    double used = 0;
    const double ownDelay = seconds(now - m_lastReportAt);
    for (const auto &[hostStart, use] : hosts->second) {
        const double age = std::clamp(seconds(m_lastReportAt - use.sentAt), 0.0, ExtrapolationIntervals * use.interval);
        used += use.rate * (age + std::clamp(ownDelay, 0.0, OwnDelayIntervals * use.interval));
    }
    return used;
}

double WorkspaceQuotas::reportSpread() const
{
    return std::max(1.0, seconds(m_lastReportInterval) / seconds(ReferenceInterval));
}

double WorkspaceQuotas::missedIntervals(TimePoint now) const
{
    const double interval = seconds(std::max(m_lastReportInterval, MinReportInterval));
    return std::max(0.0, seconds(now - m_lastReportAt) / interval - 1);
}

double quotaShare(double ownDemand, double totalDemand, std::size_t hosts)
{
    const double even = 1 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (totalDemand <= 0) {
        return even;
    }
    return EvenFraction * even + (1 - EvenFraction) * std::clamp(ownDemand / totalDemand, 0.0, 1.0);
}

}
