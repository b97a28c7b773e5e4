#pragma once

#include "timeline/mergedtimeline.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::timeline {

/// Describes the course of the request with the id @p request in sentences, in the order of events; empty when no event names it.
/// @p events are those of all hosts, as returned by mergedEvents(). Gaps in the events of hosts that took part are reported.
std::vector<std::string> explainRequest(std::span<const MergedEvent> events, std::string_view request);

}
