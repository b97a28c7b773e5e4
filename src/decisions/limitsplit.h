#pragma once

#include <cstdint>

namespace rosemaryshift::decisions {

/// Position of a host among the entry hosts: the rank of its availability zone and its rank within the zone, both in the order of names.
struct HostPosition {
    std::uint32_t zones = 1;       ///< Number of availability zones with entry hosts.
    std::uint32_t zoneRank = 0;    ///< Rank of the host's zone, from 0.
    std::uint32_t hostsInZone = 1; ///< Number of entry hosts in the host's zone.
    std::uint32_t hostRank = 0;    ///< Rank of the host within its zone, from 0.
};

/// Returns one host's share of a limit that applies to all entry hosts together. The limit is split evenly among the availability zones, and each
/// zone's share evenly among its hosts. The shares of all hosts add up to @p limit if they agree on the zones and, within a zone, on its hosts. A
/// partitioned zone keeps its share regardless of host changes in other zones. Thread-safe. Precondition: each rank is below its count.
std::uint32_t shareOfLimit(std::uint32_t limit, const HostPosition &position);

}
