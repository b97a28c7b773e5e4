#include "gateway/internal/gossipendpoint.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Share of a quota that a host uses before it has heard from any peer; small, since the number of peers is unknown.
constexpr double LoneHostShare = 0.05;

}

void GossipEndpoint::updateShares(TimePoint now)
{
    const std::size_t hosts = m_registry.hostCount();
    m_context.hostCount = hosts;
    m_context.retryBudget.setHosts(hosts);
    m_context.upstreamLimits.setHosts(m_context.settings.address, m_registry.otherHostAddresses(), now);
    m_context.quotas.setPooled(hosts > 1, now);
    const std::map<std::string, double> own = m_context.quotas.demand(now);
    const std::map<std::string, double> total = totalDemand(own, false);
    notePeerShares(own, hosts);
    std::map<std::string, double> silentShares;
    std::size_t reachableHosts = 1;
    for (const auto &[host, peer] : m_registry.peers()) {
        reachableHosts += peer.silent ? 0 : 1;
        if (peer.silent) {
            for (const auto &[workspace, share] : m_peerShares[host]) {
                silentShares[workspace] += share;
            }
        }
    }
    for (const auto &[workspace, demand] : own) {
        const auto silent = silentShares.find(workspace);
        // Silent peers may still use the shares that they computed before contact was lost.
        const double available = std::max(1 - (silent == silentShares.end() ? 0 : silent->second), 0.0);
        const double share = hosts > 1 ? available * limits::quotaShare(demand, total.at(workspace), reachableHosts) : LoneHostShare;
        m_context.quotas.setShare(workspace, share, now);
        m_context.quotas.setTotalDemand(workspace, total.at(workspace));
        m_context.quotas.setPooledFraction(workspace, available, now);
    }
}

std::map<std::string, double> GossipEndpoint::totalDemand(const std::map<std::string, double> &own, bool withSilent) const
{
    std::map<std::string, double> total = own;
    for (const auto &[host, peer] : m_registry.peers()) {
        if (peer.silent && !withSilent) {
            continue;
        }
        for (const auto &[workspace, demand] : peer.status.demand) {
            const auto entry = total.find(workspace);
            if (entry != total.end()) {
                entry->second += demand;
            }
        }
    }
    return total;
}

void GossipEndpoint::notePeerShares(const std::map<std::string, double> &own, std::size_t hosts)
{
    // Each peer computes its share in this way while it hears all others. Some of hundreds of peers are silent at nearly any time.
    const std::map<std::string, double> total = totalDemand(own, true);
    for (const auto &[host, peer] : m_registry.peers()) {
        if (peer.silent && m_peerShares.contains(host)) {
            continue;
        }
        std::map<std::string, double> &shares = m_peerShares[host];
        for (const auto &[workspace, demandOfAll] : total) {
            const auto demand = peer.status.demand.find(workspace);
            shares[workspace] = limits::quotaShare(demand == peer.status.demand.end() ? 0 : demand->second, demandOfAll, hosts);
        }
    }
}

}
