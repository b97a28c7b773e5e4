#include "gossip/peerregistry.h"

#include <algorithm>

namespace rosemaryshift::gossip {

namespace {

/// A peer counts as silent after this number of its intervals without a status.
constexpr double SilentIntervals = 3;
/// A peer is removed after this time without a status, which frees its share of the quotas. Longer than partitions between regions usually last.
constexpr std::chrono::seconds ForgetTimeout{120};
/// Statuses are sent to an address for this long after a peer last listed it.
constexpr std::chrono::seconds LearnedAddressLifetime{30};
/// The addresses that a peer lists are noted again after this time, even if they are unchanged.
constexpr std::chrono::seconds AddressRenewal{10};
/// A peer's sending time is echoed only while its last status is younger than this number of its intervals, since an older echo is of no use to it.
constexpr double EchoIntervals = 5;

}

PeerRegistry::PeerRegistry(std::string ownAddress, Listener listener)
    : m_ownAddress(std::move(ownAddress))
    , m_listener(std::move(listener))
{
}

void PeerRegistry::setSeeds(const std::vector<std::string> &addresses)
{
    m_seeds = std::set<std::string>(addresses.begin(), addresses.end());
    m_seeds.erase(m_ownAddress);
}

bool PeerRegistry::apply(PeerStatus status, TimePoint now)
{
    if (status.address == m_ownAddress) {
        return false;
    }
    const auto known = m_peers.find(status.host);
    noteAddresses(status, known == m_peers.end() ? nullptr : &known->second, now);
    const auto left = m_leftStarts.find(status.host);
    if (left != m_leftStarts.end() && left->second == status.start) {
        return false;
    }
    if (status.leaving) {
        m_leftStarts[status.host] = status.start;
        if (known != m_peers.end()) {
            m_listener(known->second, "left");
            m_peers.erase(known);
        }
        return false;
    }
    if (known == m_peers.end()) {
        Peer &peer = m_peers[status.host];
        peer = Peer{std::move(status), now, false, now};
        m_listener(peer, "found");
        return true;
    }
    Peer &peer = known->second;
    if (peer.status.start == status.start && status.sentUs <= peer.status.sentUs) {
        return false;
    }
    const bool restarted = peer.status.start != status.start;
    const bool wasSilent = peer.silent;
    if (status.peersUnchanged) {
        status.peers = std::move(peer.status.peers);
    }
    peer = Peer{std::move(status), now, false, peer.addressesNoted};
    if (restarted || wasSilent) {
        m_listener(peer, restarted ? "restarted" : "heard again");
    }
    return true;
}

void PeerRegistry::noteAddresses(const PeerStatus &status, Peer *known, TimePoint now)
{
    const bool isUnchanged = known != nullptr && (status.peersUnchanged || known->status.peers == status.peers);
    if (isUnchanged && now - known->addressesNoted < AddressRenewal) {
        return;
    }
    for (const std::string &address : isUnchanged ? known->status.peers : status.peers) {
        if (address != m_ownAddress) {
            m_learnedAddresses[address] = now;
        }
    }
    if (known != nullptr) {
        known->addressesNoted = now;
    }
}

void PeerRegistry::expire(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer &peer = entry->second;
        if (!peer.silent && now - peer.heard > peer.lifetime(SilentIntervals)) {
            peer.silent = true;
            m_listener(peer, "silent");
        }
        const bool forgotten = now - peer.heard > ForgetTimeout;
        if (forgotten) {
            m_listener(peer, "forgotten");
        }
        entry = forgotten ? m_peers.erase(entry) : std::next(entry);
    }
    std::erase_if(m_learnedAddresses, [now](const std::pair<const std::string, TimePoint> &learned) { return now - learned.second > LearnedAddressLifetime; });
}

std::set<std::string> PeerRegistry::addresses() const
{
    std::set<std::string> all = m_seeds;
    for (const auto &[address, time] : m_learnedAddresses) {
        all.insert(address);
    }
    for (const auto &[host, peer] : m_peers) {
        all.insert(peer.status.address);
    }
    return all;
}

std::vector<std::string> PeerRegistry::otherHostAddresses() const
{
    std::set<std::string> others = m_peers.empty() ? m_seeds : std::set<std::string>();
    for (const auto &[address, time] : m_learnedAddresses) {
        others.insert(address);
    }
    for (const auto &[host, peer] : m_peers) {
        others.insert(peer.status.address);
    }
    return {others.begin(), others.end()};
}

const std::map<std::string, Peer> &PeerRegistry::peers() const
{
    return m_peers;
}

Destination PeerRegistry::destinationOf(const Peer &peer, TimePoint now)
{
    Destination destination{peer.status.address, std::nullopt, peer.status.readsCompact};
    if (now - peer.heard < peer.lifetime(EchoIntervals)) {
        destination.echoUs = peer.status.sentUs;
    }
    return destination;
}

std::vector<Destination> PeerRegistry::destinations(std::span<const std::string> addresses, TimePoint now) const
{
    std::map<std::string_view, const Peer *> peersByAddress;
    for (const std::string &address : addresses) {
        peersByAddress.emplace(address, nullptr);
    }
    for (const auto &[host, peer] : m_peers) {
        const auto entry = peersByAddress.find(peer.status.address);
        // Addresses are used again: the host that was heard last has it.
        if (entry != peersByAddress.end() && (entry->second == nullptr || peer.heard > entry->second->heard)) {
            entry->second = &peer;
        }
    }
    std::vector<Destination> destinations;
    destinations.reserve(addresses.size());
    for (const std::string &address : addresses) {
        const Peer *const peer = peersByAddress.at(address);
        destinations.push_back(peer != nullptr ? destinationOf(*peer, now) : Destination{address, std::nullopt, false});
    }
    return destinations;
}

std::size_t PeerRegistry::hostCount() const
{
    return m_peers.size() + 1;
}

std::set<std::string> PeerRegistry::silentZones() const
{
    std::set<std::string> zones;
    for (const auto &[host, peer] : m_peers) {
        if (peer.silent) {
            zones.insert(peer.status.zone);
        }
    }
    for (const auto &[host, peer] : m_peers) {
        if (!peer.silent) {
            zones.erase(peer.status.zone);
        }
    }
    return zones;
}

std::vector<const Peer *> PeerRegistry::peersReaching(const std::string &service) const
{
    std::vector<const Peer *> peers;
    for (const auto &[host, peer] : m_peers) {
        const bool unreached = std::ranges::find(peer.status.unreachedServices, service) != peer.status.unreachedServices.end();
        if (!peer.silent && !unreached && !peer.status.forwardingToken.empty()) {
            peers.push_back(&peer);
        }
    }
    return peers;
}

std::vector<std::string> PeerRegistry::heardHosts() const
{
    std::vector<std::string> hosts;
    for (const auto &[host, peer] : m_peers) {
        if (!peer.silent) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

bool PeerRegistry::anyHeardReadsJsonOnly() const
{
    return std::ranges::any_of(m_peers, [](const auto &entry) { return !entry.second.silent && !entry.second.status.readsCompact; });
}

bool PeerRegistry::anySilent() const
{
    return std::ranges::any_of(m_peers, [](const auto &entry) { return entry.second.silent; });
}

}
