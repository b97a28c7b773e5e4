#include "overload/loopdelay.h"

#include <algorithm>

namespace rosemaryshift::overload {

void LoopDelay::beginSample(TimePoint due)
{
    m_due = due;
}

void LoopDelay::noteTimerRan(TimePoint now)
{
    m_probeEntered = now;
    m_lateness = Duration::zero();
}

DelaySample LoopDelay::noteProbePassed(TimePoint now)
{
    m_lateness = std::max(now - m_due.value_or(now), Duration::zero());
    m_due.reset();
    return {now - m_probeEntered, m_lateness};
}

Duration LoopDelay::estimate(TimePoint now) const
{
    return m_due ? std::max(m_lateness, now - *m_due) : m_lateness;
}

}
