#pragma once

#include "base/types.h"
#include "http/httptypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryshift::membership {

/// Another entry host as it describes itself in its heartbeats.
struct Peer {
    std::string name;
    std::string incarnation; ///< New at every start of the host.
    std::string zone;
    http::Endpoint peerEndpoint;   ///< Its listener for peers.
    http::Endpoint callerEndpoint; ///< Its listener for callers.
    bool leaving = false;          ///< Takes no new work; never taken back within an incarnation.
};

enum class PeerChange : std::uint8_t {
    Appeared,
    Leaving,
    Lost, ///< Silent for several heartbeats, or replaced by a later incarnation.
};

struct MembershipSettings {
    Duration interval = std::chrono::milliseconds(500); ///< Between two heartbeats to one peer, at least.
    std::uint32_t missedHeartbeats = 4;                 ///< Intervals of silence after which a peer is lost.
    std::uint32_t bytesPerSecond = 8'000;               ///< Heartbeats with all peers together; the interval grows to keep it.
    std::vector<http::Endpoint> seeds;                  ///< Listeners for peers to call while the platform's list is out.
};

}
