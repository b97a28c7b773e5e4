#include "secondtries/secondtrypolicy.h"

#include <algorithm>

namespace rosemaryshift::secondtries {

namespace {

/// Number of second tries that a host can save up.
constexpr double MaxCredit = 3;
/// Number of requests beyond the quantile for which it is known well enough.
constexpr double MinBeyondQuantile = 5;

}

std::string_view name(NotSentReason reason)
{
    switch (reason) {
    case NotSentReason::NotRepeatable:
        return "not_repeatable";
    case NotSentReason::NoDistribution:
        return "no_distribution";
    case NotSentReason::NoAttempts:
        return "no_attempts";
    case NotSentReason::ShareUsed:
        return "share_used";
    case NotSentReason::NoRetryBudget:
        return "no_retry_budget";
    case NotSentReason::NoUpstream:
        return "no_upstream";
    case NotSentReason::NoRoom:
        return "no_room";
    case NotSentReason::Quarantined:
        return "quarantined";
    case NotSentReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

SecondTryPolicy::SecondTryPolicy(SecondTrySettings settings)
    : m_settings(settings)
{
}

bool SecondTryPolicy::enabled() const
{
    return m_settings.share > 0;
}

void SecondTryPolicy::noteRequest()
{
    m_credit = std::min(m_credit + m_settings.share, MaxCredit);
}

void SecondTryPolicy::noteAnswer(const RequestClass &requests, Duration time, TimePoint now)
{
    m_times.note(classKey(requests), time, false, now);
}

void SecondTryPolicy::noteLeft(const RequestClass &requests, Duration time, TimePoint now)
{
    m_times.note(classKey(requests), time, true, now);
}

std::optional<Duration> SecondTryPolicy::delay(const RequestClass &requests, TimePoint now)
{
    if (!enabled()) {
        return std::nullopt;
    }
    const TimeCounts counts = m_times.counts(classKey(requests), now);
    return suffices(counts) ? counts.quantile(m_settings.quantile) : std::nullopt;
}

std::optional<NotSentReason> SecondTryPolicy::refusal(const RequestClass &requests, const SlowTry &slow, TimePoint now)
{
    if (!slow.repeatable) {
        return NotSentReason::NotRepeatable;
    }
    if (!slow.attemptsLeft) {
        return NotSentReason::NoAttempts;
    }
    // Sums of the share fall short of whole numbers by rounding.
    if (m_credit < 1 - 1e-9) {
        return NotSentReason::ShareUsed;
    }
    const TimeCounts counts = m_times.counts(classKey(requests), now);
    if (!suffices(counts)) {
        return NotSentReason::NoDistribution;
    }
    if (!slow.expected) {
        return NotSentReason::NoUpstream;
    }
    if (*slow.expected >= counts.meanRest(slow.waited) || *slow.expected >= slow.timeLeft) {
        return NotSentReason::NoRoom;
    }
    if (!slow.retryBudgetLeft) {
        return NotSentReason::NoRetryBudget;
    }
    return std::nullopt;
}

void SecondTryPolicy::noteSecondTry()
{
    m_credit = std::max(m_credit - 1, 0.0);
}

TimesSeen &SecondTryPolicy::times()
{
    return m_times;
}

bool SecondTryPolicy::suffices(const TimeCounts &counts) const
{
    return static_cast<double>(counts.total()) * (1 - m_settings.quantile) >= MinBeyondQuantile;
}

}
