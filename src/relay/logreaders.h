#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::relay {

/// Number of hosts of an availability zone with @p zoneHosts hosts that read the platform's log for the others; 0 in a small one, where each host reads for
/// itself. Two at least, so that one that is late, suspended or cut off from the log takes nothing from the others. Thread-safe.
std::size_t readerCount(std::size_t zoneHosts);

/// The hosts out of @p zoneHosts, which are those of one availability zone that @p ownHost hears and itself, that it may ask for what the log holds, the
/// preferred one first. Empty when @p ownHost reads the log itself. Hosts choose alike without communication, by rendezvous hashing; where they hear
/// different hosts, some read that need not. Thread-safe.
std::vector<std::string> readersFor(const std::string &ownHost, std::span<const std::string> zoneHosts);

}
