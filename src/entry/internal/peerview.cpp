#include "entry/internal/peerview.h"

namespace rosemaryshift::entry {

using membership::Peer;

void PeerView::update(const Peer &peer, membership::PeerChange change)
{
    const std::lock_guard lock(m_mutex);
    if (change == membership::PeerChange::Lost) {
        m_peers.erase(peer.name);
    } else {
        m_peers[peer.name] = peer;
    }
}

std::vector<Peer> PeerView::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Peer> peers;
    for (const auto &[name, peer] : m_peers) {
        peers.push_back(peer);
    }
    return peers;
}

std::optional<Peer> PeerView::find(std::string_view name) const
{
    const std::lock_guard lock(m_mutex);
    const std::map<std::string, Peer, std::less<>>::const_iterator found = m_peers.find(name);
    return found == m_peers.end() ? std::nullopt : std::optional<Peer>(found->second);
}

std::optional<Peer> PeerView::findAcceptingHost(std::string_view requestId) const
{
    return findByHostId(requestId.substr(0, requestId.rfind('-')));
}

std::optional<Peer> PeerView::findByHostId(std::string_view hostId) const
{
    const std::size_t dot = hostId.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    std::optional<Peer> peer = find(hostId.substr(0, dot));
    if (!peer || peer->incarnation != hostId.substr(dot + 1)) {
        return std::nullopt;
    }
    return peer;
}

}
