#include "membership/peertable.h"

#include <algorithm>

namespace rosemaryshift::membership {

namespace {

/// Upper limit for the heartbeat interval that a peer announces.
constexpr Duration MaxInterval = std::chrono::hours(1);
/// Number of replaced incarnations remembered for each host.
constexpr std::size_t MaxReplacedIncarnations = 4;
/// Number of hosts whose replaced incarnations are remembered.
constexpr std::size_t MaxReplacedNames = 4'096;

}

PeerTable::PeerTable(const MembershipSettings &settings)
    : m_settings(settings)
{
}

std::vector<PeerEvent> PeerTable::recordHeartbeat(const Peer &peer, TimePoint now, Duration interval)
{
    std::vector<PeerEvent> events;
    if (isReplaced(peer)) {
        return events;
    }
    const std::map<std::string, Row, std::less<>>::iterator known = m_rows.find(peer.name);
    const bool same = known != m_rows.end() && known->second.peer.incarnation == peer.incarnation;
    const bool wasLeaving = same && known->second.peer.leaving;
    if (known != m_rows.end() && !same) {
        events.push_back({known->second.peer, PeerChange::Lost});
        noteReplaced(known->second.peer);
    }
    Peer current = peer;
    current.leaving = peer.leaving || wasLeaving;
    if (!same) {
        events.push_back({current, PeerChange::Appeared});
    }
    if (current.leaving && !wasLeaving) {
        events.push_back({current, PeerChange::Leaving});
    }
    m_rows[peer.name] = {current, now, std::clamp(interval, m_settings.interval, MaxInterval)};
    return events;
}

std::vector<PeerEvent> PeerTable::expire(TimePoint now)
{
    std::vector<PeerEvent> events;
    std::erase_if(m_rows, [&](const auto &entry) {
        if (now - entry.second.lastHeard <= entry.second.interval * m_settings.missedHeartbeats) {
            return false;
        }
        events.push_back({entry.second.peer, PeerChange::Lost});
        return true;
    });
    return events;
}

std::vector<Peer> PeerTable::peers() const
{
    std::vector<Peer> peers;
    for (const auto &[name, row] : m_rows) {
        peers.push_back(row.peer);
    }
    return peers;
}

std::optional<Peer> PeerTable::peer(std::string_view name) const
{
    const std::map<std::string, Row, std::less<>>::const_iterator found = m_rows.find(name);
    return found == m_rows.end() ? std::nullopt : std::optional<Peer>(found->second.peer);
}

bool PeerTable::heardWithin(std::string_view name, Duration time, TimePoint now) const
{
    const std::map<std::string, Row, std::less<>>::const_iterator found = m_rows.find(name);
    return found != m_rows.end() && now - found->second.lastHeard <= time;
}

bool PeerTable::isReplaced(const Peer &peer) const
{
    const auto found = m_replaced.find(peer.name);
    return found != m_replaced.end() && std::ranges::find(found->second, peer.incarnation) != found->second.end();
}

void PeerTable::noteReplaced(const Peer &peer)
{
    if (m_replaced.size() >= MaxReplacedNames) {
        m_replaced.erase(m_replaced.begin());
    }
    std::deque<std::string> &incarnations = m_replaced[peer.name];
    incarnations.push_back(peer.incarnation);
    if (incarnations.size() > MaxReplacedIncarnations) {
        incarnations.pop_front();
    }
}

}
