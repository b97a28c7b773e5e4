#pragma once

#include "membership/membershiptypes.h"

#include <string_view>
#include <vector>

namespace rosemaryshift::replication {

/// Those of @p peers that accept new work, in order of preference as replica hosts of @p key: first those in other
/// availability zones than @p ownZone, and within each group by rendezvous hashing (Thaler and Ravishankar, 1998). Thread-safe.
std::vector<membership::Peer> rankReplicaHosts(std::string_view key, std::vector<membership::Peer> peers, std::string_view ownZone);

}
