#pragma once

#include "base/types.h"

#include <optional>

namespace rosemaryshift::overload {

/// One measurement of an event loop.
struct DelaySample {
    Duration queue{0};    ///< Time that the probe took to pass the queue.
    Duration lateness{0}; ///< Time from when the sample was due to its end. Longer than @p queue when the process did not run in between.
};

/// Tracks how late an event loop runs its handlers. The owner samples the loop: a timer expires, and a probe then passes through the queue of the loop
/// behind the handlers that are ready. The current time is passed to each call. Not thread-safe.
class LoopDelay
{
public:
    /// Starts a sample, whose timer expires at @p due.
    void beginSample(TimePoint due);
    /// Records that the handler of the timer runs, and that the probe enters the queue.
    void noteTimerRan(TimePoint now);
    /// Ends the sample: the probe has passed the queue. Returns it. Precondition: noteTimerRan() was called for the sample.
    DelaySample noteProbePassed(TimePoint now);

    /// Estimates how long the request that a handler handles now has waited for this process, as behind other handlers, for a processor quota or while the
    /// machine was suspended: the lateness of the sample that has not ended yet, or of the last one, since a request passes the queue more than once.
    [[nodiscard]] Duration estimate(TimePoint now) const;

private:
    std::optional<TimePoint> m_due; ///< When the current sample was due.
    TimePoint m_probeEntered;
    Duration m_lateness{0}; ///< Time from when the last sample was due to its end; zero once the next one has begun to run.
};

}
