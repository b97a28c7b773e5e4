#pragma once

#include "timeline/timelinejson.h"

#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::operators {

/// What all hosts asked for their time lines answered.
struct FleetTimeline {
    std::vector<timeline::TimelinePage> pages;
    std::vector<std::string> faults; ///< One sentence for each host that could not be read, wholly or in part.
};

/// Asks each of @p hosts ("address:port" of its listener for operators) for its events from @p since on.
/// Blocks the calling thread. Thread-safe.
FleetTimeline readTimelines(std::span<const std::string> hosts, const std::string &token, timeline::Stamp since);

}
