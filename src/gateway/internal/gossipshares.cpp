#include "gateway/internal/gossipendpoint.h"

#include "limits/workspacequotas.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Share of a quota that a host uses before it has heard from any peer; small, since the number of peers is unknown.
constexpr double LoneHostShare = 0.05;

/// Adds @p demand to @p total for each workspace that is in both. Both are in order, so that they are passed once.
void addDemand(std::map<std::string, double> &total, const std::map<std::string, double> &demand)
{
    auto sum = total.begin();
    for (auto part = demand.begin(); part != demand.end() && sum != total.end();) {
        const int order = part->first.compare(sum->first);
        if (order == 0) {
            sum->second += part->second;
        }
        if (order <= 0) {
            ++part;
        }
        if (order >= 0) {
            ++sum;
        }
    }
}

}

void GossipEndpoint::updateShares(TimePoint now)
{
    m_sharesUpdatedAt = now;
    const std::size_t hosts = m_registry.hostCount();
    m_context.hostCount = hosts;
    m_context.retryBudget.setHosts(hosts);
    m_context.upstreamLimits.setHosts(m_context.settings.address, m_registry.otherHostAddresses(), now);
    m_context.quotas.setPooled(hosts > 1, now);
    const std::map<std::string, double> own = m_context.quotas.demand(now);
    const DemandOfHosts demand = demandOfHosts(own);
    notePeerShares(demand.all, hosts);
    std::map<std::string, double> silentShares;
    for (const auto &[host, shares] : m_silentShares) {
        for (const auto &[workspace, share] : shares) {
            silentShares[workspace] += share;
        }
    }
    const std::size_t reachableHosts = hosts - m_silentShares.size();
    for (const auto &[workspace, ownDemand] : own) {
        const auto silent = silentShares.find(workspace);
        // Silent peers may still use the shares that they computed before contact was lost.
        const double available = std::max(1 - (silent == silentShares.end() ? 0 : silent->second), 0.0);
        const double total = demand.heard.at(workspace);
        const double share = hosts > 1 ? available * limits::quotaShare(ownDemand, total, reachableHosts) : LoneHostShare;
        m_context.quotas.setShare(workspace, share, now);
        m_context.quotas.setTotalDemand(workspace, total);
        m_context.quotas.setPooledFraction(workspace, available, now);
    }
}

void GossipEndpoint::applyQuotaReport(const gossip::PeerStatus &status, TimePoint now)
{
    const std::string start = gossip::hostStart(status.host, status.start);
    const TimePoint sentAt{Duration(static_cast<Duration::rep>(status.sentUs))};
    m_context.quotas.updatePeerUsage(start, status.used, {sentAt, status.interval}, now);
    m_context.quotas.updatePeerDemand(start, status.demand);
}

void GossipEndpoint::informQuotaRule(TimePoint now)
{
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent) {
            applyQuotaReport(peer.status, now);
        }
    }
}

GossipEndpoint::DemandOfHosts GossipEndpoint::demandOfHosts(const std::map<std::string, double> &own) const
{
    DemandOfHosts demand{own, own};
    for (const auto &[host, peer] : m_registry.peers()) {
        addDemand(demand.all, peer.status.demand);
        if (!peer.silent) {
            addDemand(demand.heard, peer.status.demand);
        }
    }
    return demand;
}

void GossipEndpoint::notePeerShares(const std::map<std::string, double> &totalDemand, std::size_t hosts)
{
    std::erase_if(m_silentShares, [this](const auto &entry) {
        const auto peer = m_registry.peers().find(entry.first);
        return peer == m_registry.peers().end() || !peer->second.silent;
    });
    // Each peer computes its share in this way while it hears all others. Some of hundreds of peers are silent at nearly any time.
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent || m_silentShares.contains(host)) {
            continue;
        }
        std::map<std::string, double> &shares = m_silentShares[host];
        for (const auto &[workspace, demandOfAll] : totalDemand) {
            const auto demand = peer.status.demand.find(workspace);
            shares[workspace] = limits::quotaShare(demand == peer.status.demand.end() ? 0 : demand->second, demandOfAll, hosts);
        }
    }
}

}
