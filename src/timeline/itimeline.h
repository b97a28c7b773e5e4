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

    /// A stamp later than all stamps given or observed before.
    virtual Stamp now() = 0;
    /// Takes in the stamp of a message, so that later stamps stand after it. A stamp further ahead of the wall
    /// clock than a day is ignored.
    virtual void observe(Stamp stamp) = 0;
};

/// Bounded record of what a process did. Thread-safe.
class ITimeline
{
public:
    virtual ~ITimeline() = default;

    /// Stamps and keeps an event; the oldest makes room when the record is full.
    virtual void record(EventKind kind, EventFields fields) = 0;
    /// All kept events stamped at or after @p since, oldest first.
    [[nodiscard]] virtual std::vector<TimelineEvent> since(Stamp since) const = 0;
    /// Events that made room for later ones.
    [[nodiscard]] virtual std::uint64_t dropped() const = 0;
};

using WallClock = std::function<std::int64_t()>;

/// Milliseconds since 1970 of the system's clock.
std::int64_t systemWallMs();
std::shared_ptr<IHybridClock> makeHybridClock(WallClock wallClock = systemWallMs);
/// Makes a record of at most @p capacity events of the process @p host, @p incarnation.
std::shared_ptr<ITimeline> makeTimeline(std::shared_ptr<IHybridClock> clock, std::string host, std::string incarnation, std::size_t capacity);

}
