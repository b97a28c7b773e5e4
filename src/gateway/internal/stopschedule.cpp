#include "gateway/internal/stopschedule.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Part of the stop timeout for which new requests are still accepted: the load balancer needs two readiness checks to notice that this host is not
/// ready.
constexpr double AcceptingPart = 0.3;
/// Part of the stop timeout after which the requests that are still open are ended.
constexpr double DrainingPart = 0.85;
/// Part of the stop timeout after which the process exits even if requests or connections are still open.
constexpr double ExitPart = 0.93;
/// Part of the stop timeout that is taken to have passed at most when a late process handles the signal: its open requests still have to be answered.
constexpr double MaxLatePart = 0.5;

}

StopSchedule::StopSchedule(std::chrono::milliseconds stopTimeout)
    : m_stopTimeout(stopTimeout)
{
}

void StopSchedule::begin(TimePoint now, Duration lateness)
{
    if (!m_begunAt) {
        m_begunAt = now - std::min(lateness, std::chrono::duration_cast<Duration>(m_stopTimeout * MaxLatePart));
    }
}

bool StopSchedule::begun() const
{
    return m_begunAt.has_value();
}

bool StopSchedule::refusesRequests(TimePoint now) const
{
    return begun() && untilRefusing(now).count() == 0;
}

bool StopSchedule::fits(Duration expected, Duration timeLeft, TimePoint now) const
{
    return !begun() || std::min(expected, timeLeft) < untilEnding(now);
}

std::chrono::milliseconds StopSchedule::untilRefusing(TimePoint now) const
{
    return until(AcceptingPart, now);
}

std::chrono::milliseconds StopSchedule::untilEnding(TimePoint now) const
{
    return until(DrainingPart, now);
}

std::chrono::milliseconds StopSchedule::untilExit(TimePoint now) const
{
    return until(ExitPart, now);
}

std::chrono::milliseconds StopSchedule::until(double part, TimePoint now) const
{
    const TimePoint end = *m_begunAt + std::chrono::duration_cast<Duration>(m_stopTimeout * part);
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(end - now), std::chrono::milliseconds(0));
}

}
