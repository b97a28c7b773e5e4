#pragma once

#include "timeline/timelinejson.h"

#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::operators {

/// Timelines read from several hosts, with the errors that occurred.
struct FleetTimeline {
    std::vector<timeline::TimelinePage> pages;
    std::vector<std::string> faults; ///< One message for each host whose timeline could not be read completely.
};

/// Asks each of @p hosts ("address:port" of its listener for operators) for its timeline events from @p since on.
/// Blocks the calling thread. Thread-safe.
FleetTimeline readTimelines(std::span<const std::string> hosts, const std::string &token, timeline::Stamp since);

}
