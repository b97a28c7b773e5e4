#pragma once

#include "base/types.h"
#include "http/httptypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rosemaryshift::membership {

/// An entry host as it describes itself in its heartbeats.
struct Peer {
    std::string name;
    std::string incarnation;       ///< Different at every start of the host.
    std::string zone;              ///< Availability zone.
    http::Endpoint peerEndpoint;   ///< Where it listens for other hosts.
    http::Endpoint callerEndpoint; ///< Where it listens for callers.
    bool leaving = false;          ///< It accepts no new work; stays true for the rest of the incarnation.
};

/// How a peer has changed.
enum class PeerChange : std::uint8_t {
    Appeared, ///< The first heartbeat of an incarnation came.
    Leaving,  ///< It has announced that it accepts no new work.
    Lost,     ///< It missed several heartbeats or was replaced by a later incarnation.
};

/// Settings of the heartbeats between entry hosts.
struct MembershipSettings {
    Duration interval = std::chrono::milliseconds(500); ///< Least time between two heartbeats to one peer.
    std::uint32_t missedHeartbeats = 4;                 ///< Number of a peer's heartbeat intervals without a heartbeat after which it is lost.
    std::uint32_t bytesPerSecond = 8'000;               ///< Limit for the heartbeats with all peers together; the interval grows to stay within it.
    std::vector<http::Endpoint> seeds;                  ///< Peer endpoints of hosts to call even when the platform's list is unavailable.
};

}
