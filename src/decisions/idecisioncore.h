#pragma once

#include "decisions/decisiontypes.h"

#include <memory>
#include <optional>
#include <span>

namespace rosemaryshift::decisions {

/// How the upstream of an attempt is chosen.
enum class RoutingPolicy : std::uint8_t {
    EstimatedFinish, ///< The earliest estimated end among a few sampled candidates.
    LeastInFlight,   ///< The smallest share of slots in use by this host.
    RoundRobin,
    Random,
};

/// In which order waiting requests start.
enum class QueuePolicy : std::uint8_t {
    ShortFirst,      ///< One request of each workspace in turn; within a workspace questions go before plans.
    FairByWorkspace, ///< One request of each workspace in turn; within a workspace in the order of arrival.
    FirstCome,       ///< One queue of all workspaces; the first holds up the others.
};

/// The decisions of a core. Each field has a plain alternative to be measured against.
struct PolicySettings {
    RoutingPolicy routing = RoutingPolicy::EstimatedFinish;
    QueuePolicy queue = QueuePolicy::ShortFirst;
    bool estimateStart = true;                     ///< Refuses at once, and gives up while queued, what cannot start in time.
    double planShare = 0.5;                        ///< Of all slots that plans of all hosts together may hold; 1 keeps none for short work.
    double hedgeShare = 0.05;                      ///< Second attempts beside running ones, for each first attempt; 0 for none.
    double retryShare = 0.05;                      ///< Retries that each first attempt pays for.
    std::uint32_t maxAttempts = 3;                 ///< Of one request that reached an upstream.
    Duration moveMargin = std::chrono::seconds(1); ///< Before an upstream is gone, for moving what still runs there.
    Duration retryAfter = std::chrono::seconds(1); ///< Told to callers that are refused for want of a slot.
};

/// The decisions of one host, without sockets, threads, clocks or global randomness: the same events at the same times
/// with the same seed give the same actions. Not thread-safe.
class IDecisionCore
{
public:
    virtual ~IDecisionCore() = default;

    /// Takes an event in; it has its effect at the next tick.
    virtual void post(Event event) = 0;
    /// Runs all systems at @p now and gives the actions that follow, valid until the next call.
    /// Precondition: @p now is not before that of the last tick.
    virtual std::span<const Action> tick(TimePoint now) = 0;
    /// When the next tick is due without a new event; nothing when only an event can change anything.
    [[nodiscard]] virtual std::optional<TimePoint> nextWake() const = 0;
    /// Requests that have no final answer yet.
    [[nodiscard]] virtual std::size_t openRequests() const = 0;
};

/// Makes a core; @p seed decides every random choice.
std::unique_ptr<IDecisionCore> makeDecisionCore(const PolicySettings &settings, std::uint64_t seed);

}
