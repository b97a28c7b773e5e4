#include "gateway/internal/gossipendpoint.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/busyupstreams.h"
#include "gateway/internal/datagramsocket.h"
#include "gateway/internal/hostclock.h"
#include "gossip/statuspacing.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;
using net::ip::udp;

namespace {

/// A peer's claim to hold the duties is trusted for this number of its intervals, two and a margin, but not longer than its lease lasts.
constexpr double HolderClaimIntervals = 2.5;
/// What a peer reports of its load on the upstreams is used for this number of its intervals.
constexpr double LoadReportIntervals = 5;
/// An older confirmation of a peer's configuration is of no use; far from an overflow when it is subtracted from a time.
constexpr std::uint64_t MaxConfirmedAgeMs = 3'600'000;
/// Number of waiting datagrams that are read in one turn of the event loop at most.
constexpr int MaxDatagramsPerTurn = 64;
/// Delay after which hosts that have just started are told of this host. They come by the dozen when a fleet starts, and are answered together.
constexpr std::chrono::milliseconds NewHostDelay{20};
/// Hosts that have just started change the shares of the quotas at most this often.
constexpr std::chrono::milliseconds SharesUpdateInterval{200};

std::chrono::milliseconds atLeastZero(Duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Duration::zero()));
}

}

GossipEndpoint::GossipEndpoint(GatewayContext &context,
                               ConfigurationFollower &configurationFollower,
                               const LogRelay &relay,
                               duties::UsageCollector &usageCollector)
    : m_context(context)
    , m_usageCollector(usageCollector)
    , m_registry(context.settings.address,
                 [&context](const gossip::Peer &peer, std::string_view change) {
                     context.eventLog.write("peer",
                                            eventlog::Importance::StateChange,
                                            {{"peer", peer.status.host}, {"change", change}, {"silent_ms", wholeMilliseconds(hostNow() - peer.heard)}});
                     if (change == "forgotten" || change == "left") {
                         context.balancer.forgetPeer(peer.status.host);
                         context.quotas.forgetPeer(gossip::hostStart(peer.status.host, peer.status.start));
                         context.statusChannels.forget(gossip::hostStart(peer.status.host, peer.status.start));
                         context.wallClock.forgetPeer(peer.status.host);
                     }
                 })
    , m_configurationFetcher(context, configurationFollower, relay, m_registry)
    , m_usageRelay(gossip::hostStart(context.settings.name, context.startId))
{
}

bool GossipEndpoint::open(net::io_context &ioContext, std::string &reason)
{
    m_socket = openDatagramSocket(ioContext, m_context.settings.address, m_context.settings.gossipPort, reason);
    return m_socket.has_value();
}

void GossipEndpoint::setSeeds(const std::vector<std::string> &addresses)
{
    m_registry.setSeeds(addresses);
}

void GossipEndpoint::setHoldsDuties(bool holds)
{
    m_holdsDuties = holds;
}

bool GossipEndpoint::peerHoldsDuties(TimePoint now) const
{
    for (const auto &[host, peer] : m_registry.peers()) {
        const Duration lifetime = std::min<Duration>(peer.lifetime(HolderClaimIntervals), m_context.settings.leaseDuration);
        if (peer.status.holdsDuties && now - peer.heard < lifetime) {
            return true;
        }
    }
    return false;
}

const gossip::PeerRegistry &GossipEndpoint::registry() const
{
    return m_registry;
}

net::awaitable<void> GossipEndpoint::send()
{
    while (true) {
        const TimePoint begin = hostNow();
        // Statuses that wait for a late host are no silence of the peers.
        m_registry.expire(begin - m_context.loopDelay.estimate(begin));
        forgetLostVersion(begin);
        m_context.silentZones = m_registry.silentZones();
        m_context.quarantine.setHosts(m_context.settings.name, m_registry.heardHosts());
        m_context.quarantine.update(begin);
        m_context.upstreamLimits.expire(begin);
        m_context.upstreamPauses.expire(begin);
        updateShares(begin);
        chooseRelayedUsage(begin);
        const gossip::PeerStatus first = localStatus(begin);
        const bool withPeers = m_peerLists.nextContainsList(first.peers, peerAddresses());
        m_context.balancer.setReportInterval(first.interval);
        m_context.quarantine.setReportInterval(first.interval);
        for (const gossip::StatusBatch &batch : gossip::pacedBatches(m_context.settings.address, m_registry.addresses(), first.interval)) {
            co_await pause(atLeastZero(begin + batch.delay - hostNow()));
            const TimePoint now = hostNow();
            sendStatus(localStatus(now), m_registry.destinations(batch.addresses, now), withPeers);
        }
        co_await pause(atLeastZero(begin + first.interval - hostNow()));
    }
}

std::set<std::string> GossipEndpoint::peerAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[host, peer] : m_registry.peers()) {
        addresses.insert(peer.status.address);
    }
    return addresses;
}

void GossipEndpoint::sendStatus(const gossip::PeerStatus &status, std::span<const gossip::Destination> destinations, bool withPeers)
{
    const gossip::CompactStatus compact(status, withPeers);
    if (compact.body().size() > MaxDatagramBytes - gossip::CompactStatus::HeaderBytes) {
        m_context.eventLog.write("status_too_long", eventlog::Importance::Failure, {{"bytes", static_cast<std::int64_t>(compact.body().size())}});
        return;
    }
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    std::uint64_t failed = 0;
    std::string reason;
    for (const gossip::Destination &destination : destinations) {
        boost::system::error_code error;
        const net::ip::address to = net::ip::make_address(destination.address, error);
        if (error) {
            continue;
        }
        const udp::endpoint endpoint(to, m_context.settings.gossipPort);
        // A failed send is not repeated, like a lost datagram, since the status is sent periodically.
        if (destination.readsCompact) {
            const std::array<char, gossip::CompactStatus::HeaderBytes> header = compact.header(destination.echoUs);
            bytes += m_socket->send_to(std::array<net::const_buffer, 2>{net::buffer(header), net::buffer(compact.body())}, endpoint, 0, error);
        } else {
            gossip::PeerStatus addressed = status;
            addressed.echoUs = destination.echoUs;
            bytes += m_socket->send_to(net::buffer(encoded(addressed)), endpoint, 0, error);
        }
        ++(error ? failed : datagrams);
        reason = error ? error.message() : reason;
    }
    if (failed > 0) {
        m_context.metrics.count("rosemaryshift_statuses_total", R"(direction="not_sent")", failed);
        m_context.eventLog.write("statuses_not_sent", eventlog::Importance::Ordinary, {{"statuses", static_cast<std::int64_t>(failed)}, {"reason", reason}});
    }
    m_context.metrics.count("rosemaryshift_statuses_total", R"(direction="sent")", datagrams);
    m_context.metrics.count("rosemaryshift_status_bytes_total", R"(direction="sent")", bytes);
    m_context.metrics.set("rosemaryshift_status_bytes", "", static_cast<double>(gossip::CompactStatus::HeaderBytes + compact.body().size()));
}

net::awaitable<void> GossipEndpoint::receive()
{
    std::string buffer(MaxDatagramBytes, '\0');
    while (true) {
        udp::endpoint from;
        const auto [error, bytes] = co_await m_socket->async_receive_from(net::buffer(buffer), from, net::as_tuple(net::use_awaitable));
        if (error == net::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            handleDatagram(std::string_view(buffer.data(), bytes), from);
            receiveWaiting(buffer);
        }
    }
}

void GossipEndpoint::receiveWaiting(std::string &buffer)
{
    for (int datagram = 0; datagram < MaxDatagramsPerTurn; ++datagram) {
        udp::endpoint from;
        boost::system::error_code error;
        const std::size_t bytes = m_socket->receive_from(net::buffer(buffer), from, 0, error);
        if (error) {
            return;
        }
        handleDatagram(std::string_view(buffer.data(), bytes), from);
    }
}

void GossipEndpoint::handleDatagram(std::string_view datagram, const udp::endpoint &from)
{
    m_context.metrics.count("rosemaryshift_statuses_total", R"(direction="received")");
    m_context.metrics.count("rosemaryshift_status_bytes_total", R"(direction="received")", datagram.size());
    std::optional<gossip::PeerStatus> status = gossip::decodedPeerStatus(datagram);
    if (!status) {
        m_context.eventLog.write("news_unreadable", eventlog::Importance::Failure, {{"from", from.address().to_string()}});
        return;
    }
    handleStatus(std::move(*status));
}

std::map<std::string, double> GossipEndpoint::totalBusyUpstreams(TimePoint now) const
{
    std::map<std::string, double> sum = localBusyUpstreams(m_context, now);
    for (const auto &[host, peer] : m_registry.peers()) {
        for (const auto &[service, busy] : peer.status.busy) {
            sum[service] += busy;
        }
    }
    return sum;
}

void GossipEndpoint::handleStatus(gossip::PeerStatus received)
{
    const TimePoint now = hostNow();
    const std::string host = received.host;
    const auto known = m_registry.peers().find(host);
    const bool isNewStart = known == m_registry.peers().end() || known->second.status.start != received.start;
    if (!m_registry.apply(std::move(received), now)) {
        return;
    }
    const gossip::PeerStatus &status = m_registry.peers().at(host).status;
    if (isNewStart) {
        // A peer that has just started knows little, so it gets this host's status soon instead of at the next interval.
        m_newAddresses.insert(status.address);
        if (m_newAddresses.size() == 1) {
            startTask(m_socket->get_executor(), greetNewHosts());
        }
    }
    applyQuotaReport(status, now);
    const Duration loadLifetime = std::chrono::duration_cast<Duration>(status.interval * LoadReportIntervals);
    m_context.balancer.setPeerOutstanding(host, status.outstanding, now, loadLifetime);
    m_context.upstreamLimits.apply(status.upstreamLimits, now);
    m_context.quarantine.apply(status.suspects, now);
    for (const streams::VersionReport &report : status.versions) {
        m_context.softwareVersions.apply(report, now);
    }
    m_context.streamOrigins.apply(status.streams, now);
    m_context.statusChannels.apply(gossip::hostStart(status.host, status.start), status.channels, now);
    m_context.wallClock.notePeer(host, Duration(static_cast<Duration::rep>(status.wallUs)), now);
    if (status.listReachableMs && m_context.listAvailability.notePeer(std::chrono::milliseconds(*status.listReachableMs), now)) {
        m_context.eventLog.write(
            "list_settled", eventlog::Importance::StateChange, {{"by", host}, {"in_reach_ms", static_cast<std::int64_t>(*status.listReachableMs)}});
        m_context.directory.settle(now);
    }
    for (const auto &[window, starts] : status.usage) {
        for (const auto &[start, counts] : starts) {
            m_usageCollector.note(start, window, counts);
        }
    }
    noteConfirmation(status, now);
    m_context.configuration.noteKnown(status.configuration, now);
    m_configurationFetcher.update(m_socket->get_executor());
}

void GossipEndpoint::noteConfirmation(const gossip::PeerStatus &status, TimePoint now)
{
    // An echo from after now is of an earlier start of this machine, whose clock began anew.
    if (!status.echoUs || Duration(static_cast<Duration::rep>(*status.echoUs)) > now.time_since_epoch()) {
        return;
    }
    const TimePoint sent{Duration(static_cast<Duration::rep>(*status.echoUs))};
    m_context.metrics.observe("rosemaryshift_status_round_trip_seconds", "", now - sent);
    // The peer measured the age after it received the datagram that it echoes. Subtracting the age from the time at which this host sent that
    // datagram never dates the confirmation too late, whatever the network delays were.
    if (status.confirmedAgeMs && *status.confirmedAgeMs < MaxConfirmedAgeMs) {
        m_context.configuration.confirm(status.configuration, sent - std::chrono::milliseconds(*status.confirmedAgeMs));
    }
}

void GossipEndpoint::forgetLostVersion(TimePoint now)
{
    ActiveConfiguration &configuration = m_context.configuration;
    const std::optional<Duration> age = configuration.age(now);
    if (!age || *age <= m_context.settings.maxConfigurationDelay) {
        return;
    }
    const bool isHeld = std::ranges::any_of(m_registry.peers(), [&configuration](const auto &peer) {
        return !peer.second.silent && peer.second.status.configuration >= configuration.knownVersion();
    });
    if (!isHeld) {
        configuration.forgetKnown();
    }
}

void GossipEndpoint::noteConfigurationAt(const std::string &address, std::uint64_t version)
{
    m_context.configuration.noteKnown(version, hostNow());
    m_configurationFetcher.noteHolder(address, version);
    m_configurationFetcher.update(m_socket->get_executor());
}

net::awaitable<void> GossipEndpoint::greetNewHosts()
{
    co_await pause(NewHostDelay);
    const TimePoint now = hostNow();
    const std::vector<std::string> addresses(m_newAddresses.begin(), m_newAddresses.end());
    m_newAddresses.clear();
    if (!m_sharesUpdatedAt || now - *m_sharesUpdatedAt > SharesUpdateInterval) {
        updateShares(now);
    }
    sendStatus(localStatus(now), m_registry.destinations(addresses, now), true);
}

std::vector<gossip::Destination> GossipEndpoint::allDestinations(TimePoint now) const
{
    const std::set<std::string> addresses = m_registry.addresses();
    return m_registry.destinations(std::vector<std::string>(addresses.begin(), addresses.end()), now);
}

void GossipEndpoint::sendNow()
{
    const TimePoint now = hostNow();
    sendStatus(localStatus(now), allDestinations(now), false);
}

void GossipEndpoint::announceLeaving()
{
    const TimePoint now = hostNow();
    gossip::PeerStatus last = localStatus(now);
    for (const bool leaving : {false, true}) {
        // The final counts go out before the leaving mark, since receivers take no counts from a datagram with that mark.
        last.leaving = leaving;
        sendStatus(last, allDestinations(now), false);
        ++last.sentUs;
    }
}

}
