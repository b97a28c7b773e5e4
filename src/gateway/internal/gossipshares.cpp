#include "gateway/internal/gossipendpoint.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Share of a quota that a host uses before it has heard from any peer; small, since the number of peers is unknown.
constexpr double LoneHostShare = 0.05;

/// Requested rate of @p workspace per second, in the unit of its quota, as @p peer last reported it; 0 when it reported none.
double demandOf(const gossip::Peer &peer, const std::string &workspace)
{
    const auto found = peer.status.demand.find(workspace);
    return found == peer.status.demand.end() ? 0 : found->second;
}

}

void GossipEndpoint::updateShares(TimePoint now)
{
    const std::size_t hosts = m_registry.hostCount();
    m_context.hostCount = hosts;
    m_context.retryBudget.setHosts(hosts);
    m_context.upstreamLimits.setHosts(m_context.settings.address, m_registry.otherHostAddresses(), now);
    m_context.quotas.setPooled(hosts > 1, now);
    const std::map<std::string, double> own = m_context.quotas.demand(now);
    for (const auto &[workspace, demand] : own) {
        double total = demand;
        double silentShare = 0;
        std::size_t reachableHosts = 1;
        for (const auto &[host, peer] : m_registry.peers()) {
            if (peer.silent) {
                silentShare += m_peerShares[host][workspace];
            } else {
                total += demandOf(peer, workspace);
                ++reachableHosts;
            }
        }
        // Silent peers may still use the shares that they computed before contact was lost.
        const double available = std::max(1 - silentShare, 0.0);
        if (!m_registry.anySilent()) {
            for (const auto &[host, peer] : m_registry.peers()) {
                m_peerShares[host][workspace] = limits::quotaShare(demandOf(peer, workspace), total, hosts);
            }
        }
        const double share = hosts > 1 ? available * limits::quotaShare(demand, total, reachableHosts) : LoneHostShare;
        m_context.quotas.setShare(workspace, share, now);
        m_context.quotas.setPooledFraction(workspace, available, now);
    }
}

}
