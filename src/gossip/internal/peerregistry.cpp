#include "gossip/peerregistry.h"

namespace rosemaryshift::gossip {

namespace {

/// A peer is silent after this time without news.
constexpr std::chrono::milliseconds SilentAfter{1'200};
/// A silent peer is forgotten after this time; its share of the quotas is free then. Longer than regions usually lose each other.
constexpr std::chrono::seconds ForgottenAfter{120};
/// An address that peers told of is tried for this long.
constexpr std::chrono::seconds ToldAddressLifetime{30};
/// An echo is worth nothing when the news it answers is older than this.
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

bool PeerRegistry::apply(PeerStatus news, TimePoint now)
{
    if (news.address == m_ownAddress) {
        return false;
    }
    for (const std::string &address : news.peers) {
        if (address != m_ownAddress) {
            m_told[address] = now;
        }
    }
    const auto left = m_left.find(news.host);
    if (left != m_left.end() && left->second == news.start) {
        return false;
    }
    const auto known = m_peers.find(news.host);
    if (news.leaving) {
        m_left[news.host] = news.start;
        if (known != m_peers.end()) {
            m_listener(known->second, "left");
            m_peers.erase(known);
        }
        return false;
    }
    if (known == m_peers.end()) {
        Peer &peer = m_peers[news.host];
        peer = Peer{std::move(news), now, false};
        m_listener(peer, "found");
        return true;
    }
    Peer &peer = known->second;
    if (peer.status.start == news.start && news.sentUs <= peer.status.sentUs) {
        return false;
    }
    const bool restarted = peer.status.start != news.start;
    const bool back = peer.silent;
    peer = Peer{std::move(news), now, false};
    if (restarted || back) {
        m_listener(peer, restarted ? "restarted" : "heard again");
    }
    return true;
}

void PeerRegistry::expire(TimePoint now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer &peer = entry->second;
        if (!peer.silent && now - peer.heard > SilentAfter) {
            peer.silent = true;
            m_listener(peer, "silent");
        }
        const bool forgotten = now - peer.heard > ForgottenAfter;
        if (forgotten) {
            m_listener(peer, "forgotten");
        }
        entry = forgotten ? m_peers.erase(entry) : std::next(entry);
    }
    std::erase_if(m_told, [now](const std::pair<const std::string, TimePoint> &told) { return now - told.second > ToldAddressLifetime; });
}

std::set<std::string> PeerRegistry::addresses() const
{
    std::set<std::string> all = m_seeds;
    for (const auto &[address, time] : m_told) {
        all.insert(address);
    }
    for (const auto &[host, peer] : m_peers) {
        all.insert(peer.status.address);
    }
    return all;
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
