#pragma once

#include "decisions/idecisioncore.h"
#include "measure/scenario.h"

#include <string>
#include <vector>

namespace rosemaryshift::measure {

/// Settings of the decision core and the name that results are reported under.
struct NamedPolicy {
    std::string name;
    decisions::PolicySettings settings;
};

/// Load and faults of one run.
struct Experiment {
    std::string name;
    double load = 0.6;             ///< Arrival rate of all classes but plans, as a share of Scenario::capacity().
    double planLoad = 0.6;         ///< Arrival rate of plans, as a share of Scenario::capacity().
    double slowedShare = 0;        ///< Share of the model servers that are slowed for a part of the run.
    std::uint32_t slowedCount = 0; ///< Number of slowed model servers; the larger of the count and the share applies.
    Duration reportLag{0};         ///< Delay of load reports; zero uses that of the scenario.
    bool reclaimZone = false;      ///< The model servers of one availability zone are reclaimed after a notice and replaced later.
    bool outage = false;           ///< All model servers refuse connections for a while, and the list of upstreams still shows them.
    double floodFactor = 1;        ///< Multiplies the arrival rate of the first workspace.
};

/// Times and outcome of one request.
struct RequestResult {
    TrafficClass trafficClass = TrafficClass::Question;
    std::uint32_t workspace = 0;
    TimePoint arrivedAt;
    std::optional<TimePoint> firstTokenAt;
    std::optional<TimePoint> endedAt;
    bool completed = false;
    bool refused = false;
    bool metTarget = false; ///< Completed, with the first token and the end within their deadlines.
};

/// Requests and totals of one run.
struct RunResult {
    std::vector<RequestResult> requests; ///< Those that arrived within the measured window.
    double windowSeconds = 0;
    double fleetCost = 0;               ///< Price of all upstreams over the measured window.
    std::uint64_t attempts = 0;         ///< Over the whole run, first attempts included.
    std::uint64_t firstAttempts = 0;    ///< Over the whole run.
    std::uint64_t recomputedTokens = 0; ///< Uncached prompt and output tokens that second and further attempts processed.
    std::uint64_t repeatedCalls = 0;    ///< Non-idempotent calls offered to upstreams again after the first offer.
    std::uint64_t unanswered = 0;       ///< Requests that did not end exactly once.
};

}
