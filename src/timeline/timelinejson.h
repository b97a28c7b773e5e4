#pragma once

#include "timeline/timelinetypes.h"

#include <json/value.h>

#include <span>
#include <vector>

namespace rosemaryshift::timeline {

/// What one process answers when asked for its time line.
struct TimelinePage {
    std::vector<TimelineEvent> events;
    std::uint64_t dropped = 0;
};

Json::Value toJson(const TimelineEvent &event);
Json::Value toJson(const TimelinePage &page);
/// Reads a page; a malformed event is left out and counted in @p skipped. Nothing when the page itself is malformed.
std::optional<TimelinePage> pageFromJson(const Json::Value &value, std::size_t &skipped);
/// One line of text: stamp, host, kind and the fields that apply.
std::string toText(const TimelineEvent &event);
/// Orders events of many processes so that no effect stands before its cause.
void sortByStamp(std::vector<TimelineEvent> &events);

}
