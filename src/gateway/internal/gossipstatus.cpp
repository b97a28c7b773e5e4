#include "gateway/internal/busyupstreams.h"
#include "gateway/internal/gossipendpoint.h"
#include "gateway/internal/hostclock.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Number of usage windows in each datagram, the current one included.
constexpr std::uint64_t SentUsageWindows = 3;
/// Maximum number of streams in each datagram whose origin is not yet recorded.
constexpr std::size_t MaxSentStreams = 200;

std::uint64_t microsecondsOf(TimePoint time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

}

gossip::PeerStatus GossipEndpoint::localStatus(TimePoint now)
{
    gossip::PeerStatus status;
    status.host = m_context.settings.name;
    status.start = m_context.startId;
    status.zone = m_context.settings.zone;
    status.address = m_context.settings.address;
    status.sentUs = microsecondsOf(now);
    status.interval = gossip::statusInterval(m_registry.peers().size(), m_registry.anyHeardReadsJsonOnly());
    status.readsCompact = true;
    status.configuration = m_context.configuration.version();
    if (const std::optional<Duration> age = m_context.configuration.age(now)) {
        status.confirmedAgeMs = static_cast<std::uint64_t>(wholeMilliseconds(*age)) + 1;
    }
    if (const std::optional<Duration> inReach = m_context.listAvailability.reachableFor(now)) {
        status.listReachableMs = static_cast<std::uint64_t>(wholeMilliseconds(*inReach));
    }
    status.wallUs = static_cast<std::uint64_t>(m_context.wallClock.ownSinceEpoch(now).count());
    status.holdsDuties = m_holdsDuties;
    status.demand = m_context.quotas.demand(now);
    status.used = m_context.quotas.used();
    status.busy = localBusyUpstreams(m_context, now);
    status.outstanding = m_context.balancer.outstanding();
    status.upstreamLimits = m_context.upstreamLimits.reports(now);
    status.suspects = m_context.quarantine.reports(now);
    status.forwardingToken = m_context.stop.begun() ? "" : m_context.forwardingToken;
    status.unreachedServices = m_context.upstreamReach.unreachedServices();
    status.versions = m_context.softwareVersions.reports(now);
    status.streams = m_context.streamOrigins.unrecorded(m_context.softwareVersions.mixedServices(), MaxSentStreams);
    addUsageTo(status, now);
    status.channels = m_context.statusChannels.contents(now);
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent) {
            status.peers.push_back(peer.status.address);
        }
    }
    return status;
}

void GossipEndpoint::chooseRelayedUsage(TimePoint now)
{
    const std::uint64_t current = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(now));
    m_relayedProcesses = m_usageRelay.next(unheardProcesses(current - std::min(current, SentUsageWindows - 1), current));
}

void GossipEndpoint::addUsageTo(gossip::PeerStatus &status, TimePoint now)
{
    const std::uint64_t current = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(now));
    const std::uint64_t first = current - std::min(current, SentUsageWindows - 1);
    const std::string own = gossip::hostStart(m_context.settings.name, m_context.startId);
    for (std::uint64_t window = first; window <= current; ++window) {
        for (const auto &[process, counts] : m_usageCollector.countsByProcess(window)) {
            if (m_relayedProcesses.contains(process)) {
                status.usage[window][process] = counts;
            }
        }
        const auto ownCounts = m_context.usageLedger.windows().find(window);
        if (ownCounts != m_context.usageLedger.windows().end()) {
            status.usage[window][own] = ownCounts->second;
        }
    }
}

std::set<std::string> GossipEndpoint::unheardProcesses(std::uint64_t firstWindow, std::uint64_t lastWindow) const
{
    std::set<std::string> processes;
    for (std::uint64_t window = firstWindow; window <= lastWindow; ++window) {
        for (const auto &[process, counts] : m_usageCollector.countsByProcess(window)) {
            processes.insert(process);
        }
    }
    processes.erase(gossip::hostStart(m_context.settings.name, m_context.startId));
    for (const auto &[host, peer] : m_registry.peers()) {
        if (!peer.silent) { // Peers that are heard send their own counts.
            processes.erase(gossip::hostStart(host, peer.status.start));
        }
    }
    return processes;
}

}
