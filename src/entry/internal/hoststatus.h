#pragma once

#include "entry/internal/logfollower.h"
#include "entry/internal/templateexchange.h"
#include "membership/membershiptypes.h"
#include "platform/platformtypes.h"
#include "templates/templatetypes.h"

#include <string>
#include <utility>
#include <vector>

namespace rosemaryshift::entry {

/// What this host knows about a peer and its templates.
struct PeerStatus {
    membership::Peer peer;
    PeerTemplates templates;
    bool sameTemplates = false;
    std::string lag; ///< Why the peer's templates differ from this host's; empty when they are the same.
};

/// Snapshot of an entry host's state for operators.
struct HostStatus {
    bool ready = false;
    bool stopping = false;
    bool logReachable = false;
    std::uint64_t logPosition = 0;
    std::size_t openRequests = 0;
    std::string name;
    std::string zone;
    std::size_t replicaRecords = 0;                               ///< Replicas of other hosts' requests held here.
    std::vector<std::pair<platform::ListedHost, bool>> upstreams; ///< True for a live upstream, false for a leaving one.
    std::vector<templates::StatedRevision> templates;
    std::vector<PeerStatus> peers;
};

/// Compares the templates of @p peer with this host's own. Must be called on the control thread.
PeerStatus makePeerStatus(const membership::Peer &peer, const TemplateExchange &exchange, const LogFollower &follower);

}
