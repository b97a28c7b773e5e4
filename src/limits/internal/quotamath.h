#pragma once

#include "limits/iquotarule.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::limits {

inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// The part of a moving average that is left after @p elapsed.
inline double decay(Duration elapsed, double timeSeconds = seconds(QuotaDemandTime))
{
    return std::exp(-std::max(0.0, seconds(elapsed)) / timeSeconds);
}

}
