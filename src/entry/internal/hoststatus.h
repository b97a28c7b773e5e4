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

/// What this host knows of a peer and its templates.
struct PeerStatus {
    membership::Peer peer;
    PeerTemplates templates;
    bool sameTemplates = false;
    std::string lag; ///< Why its templates differ; empty when they do not.
};

struct HostStatus {
    bool ready = false;
    bool stopping = false;
    bool logReachable = false;
    std::uint64_t logPosition = 0;
    std::size_t openRequests = 0;
    std::string name;
    std::string zone;
    std::size_t replicaRecords = 0; ///< Copies of other hosts' requests.
    std::vector<std::pair<platform::ListedHost, bool>> upstreams;
    std::vector<templates::StatedRevision> templates;
    std::vector<PeerStatus> peers;
};

/// What this host knows of @p peer and its templates, and why they differ from its own. Belongs to the control thread.
PeerStatus makePeerStatus(const membership::Peer &peer, const TemplateExchange &exchange, const LogFollower &follower);

}
