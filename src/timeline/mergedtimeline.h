#pragma once

#include "timeline/timelinejson.h"

#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::timeline {

/// One event of a merged time line.
struct MergedEvent {
    TimelineEvent event;
    std::uint64_t lostBefore = 0; ///< Events of the same process between this one and the one before it that are lost.
};

/// Which events to show; empty parts let everything pass.
struct TimelineFilter {
    std::string request;
    std::string workspace;
};

/// Merges what the processes answered, in causal order, with each gap marked at the event behind it.
std::vector<MergedEvent> mergedEvents(std::span<const TimelinePage> pages);
/// Lines of text, or of JSON, for the events that pass @p filter and for all gaps: a lost event may be one asked for.
std::vector<std::string> textLines(std::span<const MergedEvent> events, const TimelineFilter &filter);
std::vector<std::string> jsonLines(std::span<const MergedEvent> events, const TimelineFilter &filter);

/// Reads a stamp, or a time back from @p nowMs as in "90s", "15m" or "2h". Nothing when malformed.
std::optional<Stamp> parseSince(std::string_view text, std::int64_t nowMs);

}
