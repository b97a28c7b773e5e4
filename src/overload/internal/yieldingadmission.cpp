#include "overload/yieldingadmission.h"

#include <algorithm>

namespace rosemaryshift::overload {

namespace {

/// Part of the latency goal that an average request may wait; the rest is for the reading of its own prompt and for upstreams that are busier than others.
constexpr double WaitPart = 0.4;
/// Largest part of the requests that is refused.
constexpr double MaxRefusedPart = 0.75;
/// Shortest time after which a caller is asked to come back.
constexpr std::chrono::milliseconds ShortestRetryDelay{150};

}

std::optional<Duration> yieldingRetryDelay(const YieldingDemand &demand, double uniform)
{
    if (demand.latencyGoal <= Duration::zero()) {
        return std::nullopt;
    }
    const Duration accepted = std::chrono::duration_cast<Duration>(demand.latencyGoal * WaitPart);
    if (demand.averageWait <= accepted) {
        return std::nullopt;
    }
    const double refusedPart = 1 - static_cast<double>(accepted.count()) / static_cast<double>(demand.averageWait.count());
    if (uniform >= std::min(refusedPart, MaxRefusedPart)) {
        return std::nullopt;
    }
    return std::max<Duration>(demand.averageWait - accepted, ShortestRetryDelay);
}

}
