#pragma once

#include "base/types.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace rosemaryshift::gossip {

/// Largest number of statuses that a host sends at once. More of them would fill the link of a small host, which drops what exceeds its queue.
constexpr std::size_t MaxStatusesAtOnce = 16;

/// The statuses that a host sends at the same moment.
struct StatusBatch {
    Duration delay{0}; ///< Time from the beginning of the interval.
    std::vector<std::string> addresses;
};

/// Spreads the statuses of the host at @p ownAddress to @p addresses evenly over @p interval, in batches of MaxStatusesAtOnce at most. Each host has an order
/// of its own, so that the statuses which are lost on full links are not those of the same receivers everywhere. The order is the same in each interval, so
/// that a receiver gets one status per interval. Thread-safe.
std::vector<StatusBatch> pacedBatches(const std::string &ownAddress, const std::set<std::string> &addresses, Duration interval);

}
