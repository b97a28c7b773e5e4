#pragma once

#include "gossip/peerstatus.h"

namespace rosemaryshift::gossip {

/// @p milliseconds as the interval that a peer states, within the bounds of what a host waits for its next status. Thread-safe.
std::chrono::milliseconds boundedInterval(std::uint64_t milliseconds);
/// Decodes a status in JSON; returns nothing when it is malformed. Thread-safe.
std::optional<PeerStatus> decodedJsonStatus(std::string_view datagram);
/// Whether @p datagram has the header of the compact form. Thread-safe.
bool isCompactStatus(std::string_view datagram);
/// Decodes a status in the compact form; returns nothing when it is malformed. Precondition: isCompactStatus(). Thread-safe.
std::optional<PeerStatus> decodedCompactStatus(std::string_view datagram);

}
