#pragma once

#include <cstdint>

namespace rosemaryshift::decisions {

/// Where a host stands among the entry hosts, by the order of names.
struct HostPosition {
    std::uint32_t zones = 1; ///< Availability zones with entry hosts.
    std::uint32_t zoneRank = 0;
    std::uint32_t hostsInZone = 1;
    std::uint32_t hostRank = 0; ///< Within the own zone.
};

/// This host's part of a limit over the whole fleet: an even part for each availability zone, within it one for each
/// host. The parts of all hosts that know the same zones, and within a zone the same hosts, add up to @p limit; a zone that is cut
/// off keeps its part, whatever happens to hosts elsewhere. Thread-safe. Precondition: each rank is below its count.
std::uint32_t shareOfLimit(std::uint32_t limit, const HostPosition &place);

}
