#pragma once

#include "base/types.h"

#include <optional>

namespace rosemaryshift::overload {

/// What decides whether a request that yields to more urgent ones is sent to an upstream of its service.
struct YieldingDemand {
    Duration averageWait{0}; ///< Time in which an average upstream reads the prompts that all hosts have sent and that wait there.
    Duration latencyGoal{0}; ///< Of the request's route; zero when there is none.
};

/// Returns nothing when a request that yields may be sent, otherwise the time after which its caller should come back. While the prompts that wait take a
/// large part of the latency goal to be read, requests are refused at random, so many that the others begin in time: a queue at all upstreams would make all
/// requests late, the urgent ones too. The choice depends neither on the size of a request nor on its workspace, and some are always let through. @p
/// uniform: a random number in [0, 1). Thread-safe.
[[nodiscard]] std::optional<Duration> yieldingRetryDelay(const YieldingDemand &demand, double uniform);

}
