#include "gossip/peerregistry.h"

#include <algorithm>

namespace rosemaryshift::gossip {

namespace {

/// A peer counts as silent after this time without a status.
constexpr std::chrono::milliseconds SilentTimeout{1'200};
/// A peer is removed after this time without a status, which frees its share of the quotas. Longer than partitions between regions usually last.
constexpr std::chrono::seconds ForgetTimeout{120};
/// Statuses are sent to an address for this long after a peer last listed it.
constexpr std::chrono::seconds LearnedAddressLifetime{30};
/// A peer's sending time is echoed only while its last status is younger than this, since an older echo is of no use to it.
constexpr std::chrono::seconds EchoLifetime{2};

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
    for (const std::string &address : status.peers) {
        if (address != m_ownAddress) {
            m_learnedAddresses[address] = now;
        }
    }
    const auto left = m_leftStarts.find(status.host);
    if (left != m_leftStarts.end() && left->second == status.start) {
        return false;
    }
    const auto known = m_peers.find(status.host);
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
        peer = Peer{std::move(status), now, false};
        m_listener(peer, "found");
        return true;
    }
    Peer &peer = known->second;
    if (peer.status.start == status.start && status.sentUs <= peer.status.sentUs) {
        return false;
    }
    const bool restarted = peer.status.start != status.start;
    const bool wasSilent = peer.silent;
    peer = Peer{std::move(status), now, false};
    if (restarted || wasSilent) {
        m_listener(peer, restarted ? "restarted" : "heard again");
    }
    return true;
}

void PeerRegistry::expire(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer &peer = entry->second;
        if (!peer.silent && now - peer.heard > SilentTimeout) {
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

std::optional<std::uint64_t> PeerRegistry::echoFor(const std::string &address, TimePoint now) const
{
    for (const auto &[host, peer] : m_peers) {
        if (peer.status.address == address && now - peer.heard < EchoLifetime) {
            return peer.status.sentUs;
        }
    }
    return std::nullopt;
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

bool PeerRegistry::anySilent() const
{
    for (const auto &[host, peer] : m_peers) {
        if (peer.silent) {
            return true;
        }
    }
    return false;
}

}
