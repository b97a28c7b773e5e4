#pragma once

#include "timeline/timelinetypes.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemaryshift::timeline {

/// Hybrid logical clock of one process. Thread-safe.
class IHybridClock
{
public:
    virtual ~IHybridClock() = default;

    /// Returns a stamp later than all stamps returned or observed before.
    virtual Stamp now() = 0;
    /// Advances the clock to the stamp of a received message, so that later stamps are greater. A stamp more than one day
    /// ahead of the wall clock is ignored.
    virtual void observe(Stamp stamp) = 0;
};

/// Bounded buffer of the events of a process. Thread-safe.
class ITimeline
{
public:
    virtual ~ITimeline() = default;

    /// Stamps and stores an event; drops the oldest one when the buffer is full.
    virtual void record(EventKind kind, EventFields fields) = 0;
    /// The stored events stamped at or after @p since, oldest first.
    [[nodiscard]] virtual std::vector<TimelineEvent> since(Stamp since) const = 0;
    /// Number of events dropped because the buffer was full.
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

/// Returns milliseconds since 1970.
using WallClock = std::function<std::int64_t()>;

/// Milliseconds since 1970 by the system's wall clock.
std::int64_t systemWallMs();
/// Creates a hybrid logical clock on top of @p wallClock.
std::shared_ptr<IHybridClock> makeHybridClock(WallClock wallClock = systemWallMs);
/// Creates a buffer of at most @p capacity events of the process @p incarnation of @p host.
std::shared_ptr<ITimeline> makeTimeline(std::shared_ptr<IHybridClock> clock, std::string host, std::string incarnation, std::size_t capacity);

}
