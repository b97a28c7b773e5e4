#pragma once

#include "membership/membershiptypes.h"

#include <string_view>
#include <vector>

namespace rosemaryshift::replication {

/// @p peers that take new work in the order in which they are to keep @p key: those of other zones than @p ownZone first,
/// within that by highest random weight (Thaler and Ravishankar, 1998). Thread-safe.
std::vector<membership::Peer> rankReplicaHosts(std::string_view key, std::vector<membership::Peer> peers, std::string_view ownZone);

}
