#pragma once

#include "membership/membershiptypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::membership {

struct PeerEvent {
    Peer peer;
    PeerChange change;
};

/// Who is there, decided from heartbeats alone; time comes in. Not thread-safe.
class PeerTable
{
public:
    explicit PeerTable(const MembershipSettings &settings);

    /// Takes in a heartbeat that came at @p now and gives the changes that follow. A heartbeat of an incarnation that a
    /// later one has replaced changes nothing. The next one is expected within @p interval, if that is longer than the own.
    std::vector<PeerEvent> recordHeartbeat(const Peer &peer, TimePoint now, Duration interval = {});
    /// Drops the peers that were silent too long at @p now.
    std::vector<PeerEvent> expire(TimePoint now);
    [[nodiscard]] std::vector<Peer> peers() const;
    [[nodiscard]] std::optional<Peer> peer(std::string_view name) const;
    /// True when @p name was heard of within the last @p time before @p now.
    [[nodiscard]] bool heardWithin(std::string_view name, Duration time, TimePoint now) const;

private:
    struct Row {
        Peer peer;
        TimePoint lastHeard;
        Duration interval; ///< Until its next heartbeat.
    };

    [[nodiscard]] bool isReplaced(const Peer &peer) const;
    void noteReplaced(const Peer &peer);

    const MembershipSettings m_settings;
    std::map<std::string, Row, std::less<>> m_rows;
    std::map<std::string, std::deque<std::string>, std::less<>> m_replaced; ///< Earlier incarnations by name, latest last.
};

}
