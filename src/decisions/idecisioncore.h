#pragma once

#include "decisions/decisiontypes.h"

#include <memory>
#include <optional>
#include <span>

namespace rosemaryshift::decisions {

/// How the upstream of an attempt is chosen.
enum class RoutingPolicy : std::uint8_t {
    EstimatedFinish, ///< The earliest estimated completion among a few sampled candidates.
    LeastInFlight,   ///< The upstream with the smallest fraction of its slots in use by this host.
    RoundRobin,      ///< Upstreams with a free slot in turn.
    Random,          ///< Any upstream with a free slot, with uniform probability.
};

/// In which order queued requests start.
enum class QueuePolicy : std::uint8_t {
    ShortFirst,      ///< Round-robin over the workspaces; within a workspace questions start before plans.
    FairByWorkspace, ///< Round-robin over the workspaces; within a workspace in the order of arrival.
    FirstCome,       ///< One queue for all workspaces in the order of arrival; a request that cannot start blocks those behind it.
};

/// The policies of a decision core. Every field can also be set to a simple baseline for comparison.
struct PolicySettings {
    RoutingPolicy routing = RoutingPolicy::EstimatedFinish;
    QueuePolicy queue = QueuePolicy::ShortFirst;
    bool estimateStart = true;                     ///< Whether requests that are not expected to start in time are refused, on arrival or while queued.
    double planShare = 0.5;                        ///< Fraction of all slots that plans of all hosts together may use; 1 reserves none for other classes.
    double hedgeShare = 0.05;                      ///< Hedged attempts for each attempt started; 0 disables hedging.
    double retryShare = 0.05;                      ///< Retries that each first attempt adds to the retry budget.
    std::uint32_t maxAttempts = 3;                 ///< Failed attempts of one request, counting those that reached an upstream, after which it is given up.
    Duration moveMargin = std::chrono::seconds(1); ///< Time before an upstream is gone at which its running requests are moved.
    Duration retryAfter = std::chrono::seconds(1); ///< Minimum retry delay sent with refusals after which a retry may succeed.
};

/// Makes the admission, queueing, routing and retry decisions of one host. It uses no sockets, threads, clocks or global random state: the same
/// events at the same times with the same seed give the same actions. Not thread-safe.
class IDecisionCore
{
public:
    virtual ~IDecisionCore() = default;

    /// Queues an event, which takes effect at the next tick.
    virtual void post(Event event) = 0;
    /// Applies the queued events, runs all systems at the time @p now and returns the resulting actions, which are valid until the next call.
    /// Precondition: @p now is not before the time of the last tick.
    virtual std::span<const Action> tick(TimePoint now) = 0;
    /// Returns when the next tick is due if no event is posted before; nothing when only an event can lead to an action.
    [[nodiscard]] virtual std::optional<TimePoint> nextWake() const = 0;
    /// Returns what this host knows about requests that may crash upstreams, for the other hosts.
    [[nodiscard]] virtual std::vector<quarantine::SuspectReport> suspectReports(TimePoint now) const = 0;
    /// Returns the number of requests without a final answer.
    [[nodiscard]] virtual std::size_t openRequests() const = 0;
};

/// Creates a decision core; @p seed determines every random choice.
std::unique_ptr<IDecisionCore> makeDecisionCore(const PolicySettings &settings, std::uint64_t seed);

}
