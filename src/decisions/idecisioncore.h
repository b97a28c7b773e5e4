#pragma once

#include "decisions/decisiontypes.h"

#include <memory>
#include <optional>
#include <span>

namespace rosemaryshift::decisions {

struct PolicySettings {
    std::uint32_t maxAttempts = 3;                 ///< Of one request.
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
