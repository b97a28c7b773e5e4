#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::relay {

/// Number of hosts of an availability zone with @p zoneHosts hosts that read the platform's log for the others; 0 in a small one, where each host reads for
/// itself. Two at least, so that one that is late, suspended or cut off from the log takes nothing from the others. Thread-safe.
std::size_t readerCount(std::size_t zoneHosts);

/// A host of an availability zone.
struct ZoneHost {
    std::string name;
    std::uint64_t linkMegabits = 0; ///< What its link carries in a second; 0 when not known.
};

/// The hosts out of @p zoneHosts, which are those of one availability zone that @p ownHost hears and itself, that it may ask for what the log holds, the
/// preferred one first. Empty when @p ownHost reads the log itself. Hosts with the fastest links are readers; of those with equal ones, hosts choose alike
/// without communication, by rendezvous hashing. Where they hear different hosts, some read that need not. Thread-safe.
std::vector<std::string> readersFor(const std::string &ownHost, std::span<const ZoneHost> zoneHosts);

}
