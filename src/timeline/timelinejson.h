#pragma once

#include "timeline/timelinetypes.h"

#include <json/value.h>

#include <span>
#include <vector>

namespace rosemaryshift::timeline {

/// Response of one process to a query of its timeline.
struct TimelinePage {
    std::vector<TimelineEvent> events; ///< Oldest first.
    std::uint64_t dropped = 0;         ///< Number of events that the process has dropped because its buffer was full.
};

Json::Value toJson(const TimelineEvent &event);
Json::Value toJson(const TimelinePage &page);
/// Parses a page; nothing when it is malformed. A malformed event is left out and counted in @p skipped.
std::optional<TimelinePage> pageFromJson(const Json::Value &value, std::size_t &skipped);
/// Formats an event as one line of text: stamp, host, kind and the fields that are set.
std::string toText(const TimelineEvent &event);
/// Sorts the events of several processes by stamp, which puts every cause before its effects.
void sortByStamp(std::vector<TimelineEvent> &events);

}
