#pragma once

#include <chrono>
#include <cstddef>

namespace rosemaryshift::quarantine {

/// Crashes below which a suspect is never quarantined.
inline constexpr std::size_t MinCrashes = 3;
/// Time after its last crash at which a suspect is released without a trial, for want of requests.
inline constexpr std::chrono::seconds QuarantineLifetime{1'800};
/// Time for which a complete answer is reported, and clears crashes that are reported later: the longer of this and of a number of intervals of reports.
inline constexpr std::chrono::seconds CompletionLifetime{5};
inline constexpr int CompletionIntervals = 3;

}
