#pragma once

#include <chrono>
#include <cstddef>

namespace rosemaryshift::quarantine {

/// Crashes below which a suspect is never quarantined.
inline constexpr std::size_t MinCrashes = 3;
/// Two breaks at one upstream within this time are one crash, also when different hosts saw them.
inline constexpr std::chrono::seconds CrashMergeTime{1};
/// The same when one of them stands in a record of another process, whose clock may be wrong by seconds.
inline constexpr std::chrono::seconds RestoredMergeTime{5};
/// Time after its last crash at which a suspect that is not in quarantine is no longer suspected.
inline constexpr std::chrono::seconds SuspicionLifetime{60};
/// Time from the first crash of a suspect until it can be quarantined, for complete answers on other hosts to be heard of: in intervals of their reports.
inline constexpr int ObservationIntervals = 2;
/// Time after its last crash at which a suspect is released without a trial, for want of requests.
inline constexpr std::chrono::seconds QuarantineLifetime{1'800};
/// Time for which a complete answer is reported, and clears crashes that are reported later: the longer of this and of a number of intervals of reports.
inline constexpr std::chrono::seconds CompletionLifetime{5};
inline constexpr int CompletionIntervals = 3;

}
