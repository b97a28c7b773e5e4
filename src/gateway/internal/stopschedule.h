#pragma once

#include "base/types.h"

#include <chrono>
#include <optional>

namespace rosemaryshift::gateway {

/// Decides, by the time that is left until the process would be killed, which requests a process that was told to stop still accepts and sends to upstreams.
/// The current time is passed to each call. Not thread-safe.
class StopSchedule
{
public:
    /// @p stopTimeout: time from the signal to stop until the process is killed.
    explicit StopSchedule(std::chrono::milliseconds stopTimeout);

    /// Records that the process was told to stop, with a signal that it handles @p now and that came at most @p lateness ago. The stop begins at the
    /// earliest of these times, but at least half of the stop timeout is left. Further calls change nothing.
    void begin(TimePoint now, Duration lateness = Duration::zero());
    /// Whether the process was told to stop.
    [[nodiscard]] bool begun() const;
    /// Whether all new requests are refused.
    [[nodiscard]] bool refusesRequests(TimePoint now) const;
    /// Whether a request that is sent to an upstream now ends before the requests that are still open have to be ended: when its answer is complete after the
    /// @p expected time, or at the end of the @p timeLeft that its caller allows.
    [[nodiscard]] bool fits(Duration expected, Duration timeLeft, TimePoint now) const;

    /// Time until all new requests are refused. Zero once it has passed. Precondition: begun().
    [[nodiscard]] std::chrono::milliseconds untilRefusing(TimePoint now) const;
    /// The same until the requests that are still open are ended.
    [[nodiscard]] std::chrono::milliseconds untilEnding(TimePoint now) const;
    /// The same until the process exits, whatever is open.
    [[nodiscard]] std::chrono::milliseconds untilExit(TimePoint now) const;

private:
    [[nodiscard]] std::chrono::milliseconds until(double part, TimePoint now) const;

    const std::chrono::milliseconds m_stopTimeout;
    std::optional<TimePoint> m_begunAt;
};

}
