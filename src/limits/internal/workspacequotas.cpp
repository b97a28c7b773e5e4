#include "limits/workspacequotas.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::limits {

namespace {

/// Part of a quota's burst that the hosts' shares hand out; the rest covers shares that overlap while they move.
constexpr double SharedBurstPart = 0.5;
/// Part of a quota that is split evenly among the hosts.
constexpr double EvenPart = 0.3;
/// Time in which the moving average of demand forgets.
constexpr double DemandSeconds = 2;
/// What a host has probably used is reckoned for this long after it was heard.
constexpr double ReckonedSeconds = 1;
/// Part of the whole bucket that a host takes to be there when it starts: what was used before its start is not known.
constexpr double InitialPart = 0.3;
/// Part of the whole bucket below which a host also keeps to its share: what others use at the same moment is heard of too late then.
constexpr double ScarcePart = 0.3;
/// Parts of the promised excess and slack that callers are given; the rest covers what hosts use at the same moment.
constexpr double GivenExcessPart = 0.5;
constexpr double GivenSlackPart = 0.3;
/// Longest time that a caller is told to wait.
constexpr double LongestWaitSeconds = 60;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void WorkspaceQuotas::Bucket::fill(TimePoint now)
{
    const double gained = std::max(0.0, seconds(now - filled)) * rate;
    level = std::min(level + gained, capacity);
    filled = now;
}

WorkspaceQuotas::WorkspaceQuotas(QuotaTolerance tolerance)
    : m_tolerance(tolerance)
{
}

void WorkspaceQuotas::resize(Quota &quota, TimePoint now) const
{
    const double perSecond = quota.perSecond * (1 + GivenExcessPart * m_tolerance.excess);
    quota.own.fill(now);
    quota.own.rate = perSecond * quota.share;
    quota.own.capacity = quota.burst * SharedBurstPart * quota.share;
    quota.own.level = std::min(quota.own.level, quota.own.capacity);
    quota.pooled.fill(now);
    quota.pooled.rate = perSecond * quota.pooledFraction;
    quota.pooled.capacity = quota.burst * quota.pooledFraction;
    quota.pooled.level = std::min(quota.pooled.level, quota.pooled.capacity);
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
            quota.own.filled = now;
            quota.pooled.filled = now;
            quota.pooled.capacity = workspace.burst;
            quota.pooled.level = workspace.burst * InitialPart;
        }
        quota.perSecond = workspace.perSecond;
        quota.burst = workspace.burst;
        resize(quota, now);
        quotas.emplace(workspace.name, quota);
    }
    m_quotas = std::move(quotas);
}

void WorkspaceQuotas::setShare(const std::string &workspace, double share, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.share = share;
        resize(found->second, now);
    }
}

void WorkspaceQuotas::setPooledFraction(const std::string &workspace, double part, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.pooledFraction = part;
        resize(found->second, now);
    }
}

void WorkspaceQuotas::setPooled(bool pooled, TimePoint now)
{
    if (m_pooled && !pooled) {
        // From here on this host knows of its own use only, and begins with its part of what is left.
        for (auto &[workspace, quota] : m_quotas) {
            quota.own.fill(now);
            quota.pooled.fill(now);
            quota.own.level = std::min(quota.own.level, quota.pooled.level * quota.share);
        }
    }
    m_pooled = pooled;
}

void WorkspaceQuotas::updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, TimePoint now)
{
    const bool known = m_peers.contains(hostStart);
    PeerUse &peer = m_peers[hostStart];
    const double elapsed = std::max(seconds(now - peer.heard), 0.05);
    for (const auto &[workspace, total] : used) {
        const std::uint64_t before = peer.used[workspace];
        const double more = total > before ? static_cast<double>(total - before) : 0;
        peer.rate[workspace] = known ? more / elapsed : 0;
        const auto quota = m_quotas.find(workspace);
        // What it used before it was heard first has been paid back since, or is not known to be recent.
        if (known && quota != m_quotas.end()) {
            quota->second.pooled.fill(now);
            quota->second.pooled.level -= more;
        }
    }
    peer.used = used;
    peer.heard = now;
}

void WorkspaceQuotas::forgetPeer(const std::string &hostStart)
{
    m_peers.erase(hostStart);
}

std::optional<Duration> WorkspaceQuotas::take(const std::string &workspace, double cost, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return std::nullopt;
    }
    Quota &quota = found->second;
    quota.demand = quota.demand * std::exp(-seconds(now - quota.demanded) / DemandSeconds) + cost / DemandSeconds;
    quota.demanded = now;
    if (quota.perSecond <= 0) {
        return std::nullopt;
    }
    quota.own.fill(now);
    quota.pooled.fill(now);
    const double allowance = GivenSlackPart * m_tolerance.slack;
    double level = quota.own.level + allowance * quota.share;
    if (m_pooled) {
        const double pooled = quota.pooled.level - probablyUsed(workspace, now) + allowance * quota.pooledFraction;
        level = pooled < ScarcePart * quota.pooled.capacity ? std::min(pooled, level) : pooled;
    }
    if (level > 0) {
        quota.pooled.level -= cost;
        // A pooled quota may give this host more than its share.
        quota.own.level = std::max(quota.own.level - cost, m_pooled ? -quota.own.capacity - allowance * quota.share : quota.own.level - cost);
        m_used[workspace] += static_cast<std::uint64_t>(cost);
        return std::nullopt;
    }
    const double rate = std::max(m_pooled ? quota.pooled.rate : quota.own.rate, 1e-6);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(-level / rate, LongestWaitSeconds)));
}

void WorkspaceQuotas::refund(const std::string &workspace, double cost)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return;
    }
    Quota &quota = found->second;
    quota.own.level = std::min(quota.own.level + cost, quota.own.capacity);
    quota.pooled.level = std::min(quota.pooled.level + cost, quota.pooled.capacity);
    std::uint64_t &used = m_used[workspace];
    used -= std::min(used, static_cast<std::uint64_t>(cost));
}

const std::map<std::string, std::uint64_t> &WorkspaceQuotas::used() const
{
    return m_used;
}

std::map<std::string, double> WorkspaceQuotas::demand(TimePoint now) const
{
    std::map<std::string, double> all;
    for (const auto &[workspace, quota] : m_quotas) {
        all.emplace(workspace, quota.demand * std::exp(-seconds(now - quota.demanded) / DemandSeconds));
    }
    return all;
}

double WorkspaceQuotas::probablyUsed(const std::string &workspace, TimePoint now) const
{
    double used = 0;
    for (const auto &[hostStart, peer] : m_peers) {
        const auto rate = peer.rate.find(workspace);
        if (rate != peer.rate.end()) {
            used += rate->second * std::clamp(seconds(now - peer.heard), 0.0, ReckonedSeconds);
        }
    }
    return used;
}

double quotaShare(double ownDemand, double totalDemand, std::size_t hosts)
{
    const double even = 1 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (totalDemand <= 0) {
        return even;
    }
    return EvenPart * even + (1 - EvenPart) * std::clamp(ownDemand / totalDemand, 0.0, 1.0);
}

}
