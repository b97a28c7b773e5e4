#include "decisions/internal/retrysystem.h"

#include "decisions/internal/reconnectsystem.h"
#include "decisions/internal/suspects.h"
#include "decisions/internal/systems.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemaryshift::decisions {

namespace {

constexpr double RetryBurst = 20;                                 ///< Capacity of the retry bucket, in retries.
constexpr double RetriesPerSecond = 1;                            ///< Refill rate of the retry bucket, so that every request is eventually retried.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100); ///< Upper bound of the backoff, doubled with each attempt that the request has had.
constexpr Duration LongestBackoff = std::chrono::seconds(5);

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Silent || outcome == AttemptOutcome::Cancelled;
}

/// Handles the end of one of two concurrent attempts of a request. If it failed, the request is left to the other attempt and true is returned. If it
/// completed, the other attempt is cancelled and false is returned.
bool leftToOtherAttempt(RequestRow &row, TickContext &context, const EndedAttempt &ended)
{
    if (!row.hedge || (ended.attempt != *row.hedge && row.running != ended.attempt)) {
        return false;
    }
    if (mayHaveRun(ended.outcome)) {
        row.run = RunState::Unknown;
    }
    const AttemptId other = ended.attempt == *row.hedge ? *row.running : *row.hedge;
    row.hedge.reset();
    if (ended.outcome == AttemptOutcome::Completed) {
        context.actions.push_back(CancelAttempt{row.spec.request, other});
        row.running = ended.attempt;
        return false;
    }
    row.running = other;
    return true;
}

}

RetrySystem::RetrySystem(const PolicySettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_tokens(RetryBurst)
{
}

void RetrySystem::run(Tables &tables, TickContext &context)
{
    refill(tables, context.now);
    for (const EndedAttempt &ended : std::exchange(tables.ended, {})) {
        handleEnd(tables, context, ended);
    }
    for (const RequestId request : std::exchange(tables.retryDue, {})) {
        RequestRow *const row = tables.request(request);
        if (row != nullptr) {
            retry(tables, context, *row);
        }
    }
}

void RetrySystem::refill(const Tables &tables, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    const double earned = m_settings.retryShare * static_cast<double>(tables.firstAttempts - m_firstAttempts) + RetriesPerSecond * seconds;
    m_tokens = std::min(m_tokens + earned, RetryBurst);
    m_firstAttempts = tables.firstAttempts;
    m_refilledAt = now;
}

void RetrySystem::handleEnd(Tables &tables, TickContext &context, const EndedAttempt &ended)
{
    RequestRow *const row = tables.request(ended.request);
    if (row != nullptr && ended.outcome == AttemptOutcome::Rejected) {
        row->run = RunState::Unknown;
        refuse(tables, context, ended.request, RefusalCode::Rejected, Duration(0));
        return;
    }
    if (row == nullptr || leftToOtherAttempt(*row, context, ended) || row->running != ended.attempt) {
        return;
    }
    row->running.reset();
    if (ended.outcome == AttemptOutcome::Completed) {
        context.actions.push_back(CompleteRequest{ended.request, ended.attempt});
        tables.erase(ended.request);
        return;
    }
    if (mayHaveRun(ended.outcome)) {
        row->run = RunState::Unknown;
    }
    if (row->run != RunState::NotRun && !row->spec.idempotent) {
        refuse(tables, context, ended.request, RefusalCode::OutcomeUnknown, Duration(0));
        return;
    }
    if (mayReconnect(ended.row, ended.outcome)) {
        row->reconnectTo = ended.row.upstream;
    }
    const bool exemptFromLimits = ended.row.moving || row->reconnectTo;
    row->failures += exemptFromLimits || ended.outcome == AttemptOutcome::NotOffered ? 0 : 1;
    if (row->failures >= m_settings.maxAttempts) {
        refuse(tables, context, ended.request, RefusalCode::AttemptsFailed, m_settings.retryAfter);
        return;
    }
    if (const std::optional<Duration> wait = quarantineWait(tables, *row, context.now)) {
        refuse(tables, context, ended.request, RefusalCode::AttemptsFailed, *wait);
        return;
    }
    row->state = RequestState::Retrying;
    tables.setTimer(*row, row->spec.deadline);
    if (exemptFromLimits) {
        tables.retrying.push_back(ended.request);
        return;
    }
    retry(tables, context, *row);
}

void RetrySystem::retry(Tables &tables, TickContext &context, RequestRow &row)
{
    if (!row.hasOutput && row.startBy && *row.startBy < context.now) {
        refuse(tables, context, row.spec.request, RefusalCode::AttemptsFailed, m_settings.retryAfter);
        return;
    }
    if (m_tokens < 1) {
        tables.setTimer(row, std::min(context.now + backoff(row.attempts), row.spec.deadline));
        return;
    }
    m_tokens -= 1;
    tables.retrying.push_back(row.spec.request);
}

Duration RetrySystem::backoff(std::uint32_t attempts)
{
    const double longest = std::min<double>(static_cast<double>(FirstBackoff.count()) * std::exp2(attempts), static_cast<double>(LongestBackoff.count()));
    return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<double>(longest / 2, longest)(m_random)));
}

}
