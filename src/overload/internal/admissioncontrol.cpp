#include "overload/admissioncontrol.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::overload {

namespace {

/// Time in the queue of the event loop up to which the queue counts as empty.
constexpr std::chrono::milliseconds EmptyQueueDelay{2};
/// Mean lateness that is accepted for any time. A request passes the queue about three times as often as the probe that measures it.
constexpr std::chrono::milliseconds TargetLateness{25};
/// Time for which the queue must not have been empty, and the lateness above the target, until the host counts as overloaded, and until the limit
/// decreases again: two periods of a processor quota.
constexpr std::chrono::milliseconds StandingTime{200};
/// Factor by which the limit decreases.
constexpr double DecreaseFactor = 0.7;
/// Increase of the limit per second, as a number of requests and as a part of the limit.
constexpr double IncreasePerSecond = 10;
constexpr double RelativeIncreasePerSecond = 0.5;
/// Longest time between two samples for which the limit increases, since less is known about a longer one.
constexpr std::chrono::milliseconds LongestStep{200};
/// Lower bound of the limit, which lets an overloaded host notice that it can serve more.
constexpr double MinLimit = 8;
/// The overload has ended when no request was rejected for this time.
constexpr std::chrono::milliseconds QuietTime{1'000};
/// Weight of a request in the moving average of the admitted share, and the average's lower bound.
constexpr double ShareWeight = 0.05;
constexpr double MinShare = 0.02;
/// Time left to a caller below which no answer reaches it in time.
constexpr std::chrono::milliseconds MinTimeLeft{20};
/// Retry-After of a rejection by a host that admits nearly all requests, and its upper bound, which is reached as the admitted share falls.
constexpr std::chrono::milliseconds ShortestRetryDelay{150};
constexpr std::chrono::milliseconds LongestRetryDelay{800};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

std::string_view name(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::DeadlinePassed:
        return "deadline_passed";
    case RejectionReason::HostOverloaded:
        return "host_overloaded";
    }
    return "unknown";
}

AdmissionControl::AdmissionControl(Listener listener)
    : m_listener(std::move(listener))
{
}

void AdmissionControl::noteDelay(const DelaySample &sample, TimePoint now)
{
    const Duration elapsed = std::min<Duration>(now - m_lastNoted.value_or(now), LongestStep);
    m_lastNoted = now;
    if (sample.queue <= EmptyQueueDelay) {
        m_filledSince.reset();
        increaseLimit(elapsed, sample.lateness, now);
        return;
    }
    if (!m_filledSince) {
        restartMean(now);
        return;
    }
    // Requests that arrive at random meet a long delay more often than a short one.
    m_weight += seconds(sample.lateness);
    m_weightedLateness += seconds(sample.lateness) * seconds(sample.lateness);
    if (now - *m_filledSince < StandingTime) {
        return;
    }
    if (m_weightedLateness > m_weight * seconds(TargetLateness)) {
        decreaseLimit(sample.lateness, now);
    } else {
        increaseLimit(StandingTime, sample.lateness, now);
    }
    restartMean(now);
}

void AdmissionControl::restartMean(TimePoint now)
{
    m_filledSince = now;
    m_mostWaiting = m_waiting;
    m_weight = 0;
    m_weightedLateness = 0;
}

void AdmissionControl::decreaseLimit(Duration lateness, TimePoint now)
{
    const double waiting = static_cast<double>(m_mostWaiting);
    m_limit = std::max(DecreaseFactor * (m_overloadedSince ? std::min(m_limit, waiting) : waiting), MinLimit);
    if (!m_overloadedSince) {
        m_overloadedSince = now;
        m_rejected = 0;
        m_lastRejected = now;
        m_listener({OverloadChange::Begun, lateness, Duration::zero(), m_waiting, 0});
    }
}

void AdmissionControl::increaseLimit(Duration elapsed, Duration lateness, TimePoint now)
{
    if (!m_overloadedSince) {
        return;
    }
    m_limit += (IncreasePerSecond + RelativeIncreasePerSecond * m_limit) * seconds(elapsed);
    if (now - m_lastRejected >= QuietTime) {
        m_listener({OverloadChange::Ended, lateness, now - *m_overloadedSince, m_waiting, m_rejected});
        m_overloadedSince.reset();
    }
}

std::optional<Rejection> AdmissionControl::admit(Duration timeLeft, TimePoint now)
{
    if (timeLeft <= MinTimeLeft) {
        return reject(RejectionReason::DeadlinePassed, now);
    }
    if (m_overloadedSince && static_cast<double>(m_waiting) + 1 > m_limit) {
        return reject(RejectionReason::HostOverloaded, now);
    }
    m_admittedShare += ShareWeight * (1 - m_admittedShare);
    ++m_waiting;
    m_mostWaiting = std::max(m_mostWaiting, m_waiting);
    return std::nullopt;
}

Rejection AdmissionControl::reject(RejectionReason reason, TimePoint now)
{
    ++m_rejected;
    if (reason == RejectionReason::DeadlinePassed) {
        return {reason, std::nullopt};
    }
    m_lastRejected = now;
    m_admittedShare = std::max(m_admittedShare * (1 - ShareWeight), MinShare);
    const Duration delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds(ShortestRetryDelay) / m_admittedShare));
    return {reason, std::min<Duration>(delay, LongestRetryDelay)};
}

void AdmissionControl::noteAnswering()
{
    --m_waiting;
}

bool AdmissionControl::needsFrequentDelays() const
{
    return m_filledSince || m_overloadedSince;
}

double AdmissionControl::admittedShare() const
{
    return m_admittedShare;
}

}
