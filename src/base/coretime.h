#pragma once

#include "base/types.h"

#include <chrono>

namespace rosemaryshift {

/// Current time of the system's steady clock as a CoreClock time point. Thread-safe.
inline TimePoint coreNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// Converts a time point of the system's steady clock to a CoreClock time point. Thread-safe.
inline TimePoint coreTime(std::chrono::steady_clock::time_point time)
{
    return TimePoint(std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

}
