#pragma once

#include "timeline/mergedtimeline.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::timeline {

/// Says in plain sentences, in the order of events, what became of one request and why. Empty when no event names it.
/// @p events are those of all hosts, as mergedEvents() gives them; gaps among them are said.
std::vector<std::string> explainRequest(std::span<const MergedEvent> events, std::string_view request);

}
