#pragma once

#include "base/types.h"

#include <chrono>

namespace rosemaryshift {

/// The system's steady clock as the decision core counts time. Thread-safe.
inline TimePoint coreNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// A point of the system's steady clock as the decision core counts time. Thread-safe.
inline TimePoint coreTime(std::chrono::steady_clock::time_point time)
{
    return TimePoint(std::chrono::duration_cast<Duration>(time.time_since_epoch()));
}

}
