#pragma once

#include "plan.h"

#include <functional>
#include <string>

namespace rosemaryshift::review {

/// Whether the case is run with its disruption: unless TROUBLE is 0.
[[nodiscard]] bool withTrouble();
/// Runs two gateways, the servers and the clients of @p plan, and writes what happens to @p recordFile. Then has @p judge tell whether the rule was broken.
/// Returns the exit code of the case.
int runLab(const Plan &plan, const std::string &recordFile, const std::function<bool(const Seen &seen, Record &record)> &judge);
/// Tells how many of the deadly requests of each kind reached servers later than ContactTime after the crash with this number. Returns the largest of these
/// numbers.
std::size_t reportLateArrivals(const Seen &seen, std::size_t crash, Record &record);

}
