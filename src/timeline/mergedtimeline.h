#pragma once

#include "timeline/timelinejson.h"

#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::timeline {

/// One event of the merged timeline of several processes.
struct MergedEvent {
    TimelineEvent event;
    std::uint64_t lostBefore = 0; ///< Number of lost events of the same process directly before this one.
};

/// Selects the events to show. An empty field matches every event.
struct TimelineFilter {
    std::string request;   ///< Id of a request.
    std::string workspace; ///< Name of a workspace.
};

/// Merges the pages of several processes in causal order. The number of events lost in a gap is kept in the event after it.
std::vector<MergedEvent> mergedEvents(std::span<const TimelinePage> pages);
/// One line of text for each event that passes @p filter and for each gap, since a lost event might have passed.
std::vector<std::string> textLines(std::span<const MergedEvent> events, const TimelineFilter &filter);
/// One line of JSON for each event that passes @p filter and for each gap, since a lost event might have passed.
std::vector<std::string> jsonLines(std::span<const MergedEvent> events, const TimelineFilter &filter);

/// Parses a stamp, or a duration before @p nowMs (milliseconds since 1970) such as "90s", "15m" or "2h"; nothing when malformed.
std::optional<Stamp> parseSince(std::string_view text, std::int64_t nowMs);

}
