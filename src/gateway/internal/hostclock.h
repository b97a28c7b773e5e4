#pragma once

#include "base/types.h"

#include <algorithm>
#include <ctime>

namespace rosemaryshift::gateway {

/// Time since the machine booted, including the time that it was suspended. Monotonic. Thread-safe.
inline TimePoint hostNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

/// @p duration in whole milliseconds, rounded down but at least one, for timeouts and deadlines. Thread-safe.
inline std::chrono::milliseconds atLeastOneMillisecond(Duration duration)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(duration), std::chrono::milliseconds(1));
}

/// Number of whole milliseconds in @p duration, for log fields. Thread-safe.
inline std::int64_t wholeMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}
