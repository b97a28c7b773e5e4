#include "membership/peertable.h"

namespace rosemaryshift::membership {

PeerTable::PeerTable(const MembershipSettings &settings)
    : m_settings(settings)
{
}

std::vector<PeerEvent> PeerTable::heard(const Peer &peer, TimePoint now)
{
    std::vector<PeerEvent> events;
    const std::map<std::string, Row, std::less<>>::iterator known = m_rows.find(peer.name);
    const bool same = known != m_rows.end() && known->second.peer.incarnation == peer.incarnation;
    const bool wasLeaving = same && known->second.peer.leaving;
    if (known != m_rows.end() && !same) {
        events.push_back({known->second.peer, PeerChange::Lost});
    }
    Peer current = peer;
    current.leaving = peer.leaving || wasLeaving;
    if (!same) {
        events.push_back({current, PeerChange::Appeared});
    }
    if (current.leaving && !wasLeaving) {
        events.push_back({current, PeerChange::Leaving});
    }
    m_rows[peer.name] = {current, now};
    return events;
}

std::vector<PeerEvent> PeerTable::expire(TimePoint now)
{
    std::vector<PeerEvent> events;
    const Duration bound = m_settings.interval * m_settings.missedBeats;
    std::erase_if(m_rows, [&](const auto &entry) {
        if (now - entry.second.lastHeard <= bound) {
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

}
