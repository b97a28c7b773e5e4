#pragma once

#include "membership/membershiptypes.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::membership {

/// A change of a peer, to be reported to the observers.
struct PeerEvent {
    Peer peer;
    PeerChange change;
};

/// Decides from heartbeats alone which peers are live. The time is passed in with each call. Not thread-safe.
class PeerTable
{
public:
    explicit PeerTable(const MembershipSettings &settings);

    /// Handles a heartbeat of @p peer received at @p now and returns the resulting changes. A heartbeat of an incarnation
    /// that was replaced by a later one is ignored. The next heartbeat is expected after @p interval, or after the interval
    /// of the settings if that is longer.
    std::vector<PeerEvent> recordHeartbeat(const Peer &peer, TimePoint now, Duration interval = {});
    /// Drops the peers that have missed too many heartbeats at @p now and returns them as lost.
    std::vector<PeerEvent> expire(TimePoint now);
    /// The live peers in order of their names.
    [[nodiscard]] std::vector<Peer> peers() const;
    /// The live peer @p name; nothing when there is none.
    [[nodiscard]] std::optional<Peer> peer(std::string_view name) const;
    /// True when the last heartbeat of the live peer @p name came at most @p time before @p now.
    [[nodiscard]] bool heardWithin(std::string_view name, Duration time, TimePoint now) const;

private:
    /// A live peer and its last heartbeat.
    struct Row {
        Peer peer;
        TimePoint lastHeard;
        Duration interval; ///< Expected time between two of its heartbeats.
    };

    [[nodiscard]] bool isReplaced(const Peer &peer) const;
    void noteReplaced(const Peer &peer);

    const MembershipSettings m_settings;
    std::map<std::string, Row, std::less<>> m_rows;
    std::map<std::string, std::deque<std::string>, std::less<>> m_replaced; ///< Replaced incarnations by host name, the latest last.
};

}
