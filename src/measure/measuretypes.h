#pragma once

#include "decisions/idecisioncore.h"
#include "measure/scenario.h"

#include <string>
#include <vector>

namespace rosemaryshift::measure {

/// A set of decisions under a name.
struct NamedPolicy {
    std::string name;
    decisions::PolicySettings settings;
};

/// What is asked of the fleet and what goes wrong in one run.
struct Experiment {
    std::string name;
    double load = 0.6;        ///< Arrivals of all classes but plans, as a share of the capacity.
    double planLoad = 0.6;    ///< Arrivals of plans, likewise.
    double slowedShare = 0;   ///< Of the model servers, for a part of the run.
    std::uint32_t slowed = 0; ///< Number of model servers instead of a share.
    Duration reportLag{0};    ///< Zero for the scenario's own.
    bool reclaimZone = false; ///< One availability zone's model servers leave on notice and come back later.
    bool outage = false;      ///< All model servers refuse connections for a while; no list says so.
    double floodFactor = 1;   ///< Of the first workspace's arrivals.
};

/// How one request ended.
struct RequestResult {
    TrafficClass trafficClass = TrafficClass::Question;
    std::uint32_t workspace = 0;
    TimePoint arrivedAt;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> endedAt;
    bool completed = false;
    bool refused = false;
    bool met = false; ///< Its first token and its end came in time.
};

/// What one run gave.
struct RunResult {
    std::vector<RequestResult> requests; ///< Those that arrived within the measured window.
    double windowSeconds = 0;
    double fleetCost = 0;       ///< Of all upstreams over the window.
    std::uint64_t attempts = 0; ///< Over the whole run.
    std::uint64_t firstAttempts = 0;
    std::uint64_t recomputedTokens = 0; ///< Read again by second and further attempts.
    std::uint64_t repeatedCalls = 0;    ///< Calls that may not be repeated and reached upstreams twice.
    std::uint64_t unanswered = 0;       ///< Requests without exactly one end.
};

}
