#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

using secondtries::HeadVerdict;
using secondtries::NotSentReason;
using secondtries::TryEnd;
using secondtries::TryNumber;
using secondtries::TryRequest;

std::shared_ptr<http::IExchange> RequestSession::makeDispatchExchange(const net::any_io_executor &executor)
{
    std::shared_ptr<http::IExchange> first = http::makeExchange(executor, m_context.upstreamConnections);
    if (!m_context.secondTries.enabled() || !m_route->repeatable() || m_streamStarted || m_otherTry) {
        return first;
    }
    const std::optional<Duration> delay = m_context.secondTries.delay(requestClass(), hostNow());
    if (!delay) {
        m_secondNotSent = NotSentReason::NoDistribution;
        return first;
    }
    const secondtries::RaceSettings race{*delay, m_route->kind == routing::RequestKind::Streaming, MaxSkippedResponses};
    secondtries::IRaceDecisions &decisions = *this;
    return std::make_shared<secondtries::RacingExchange>(std::move(first), http::makeExchange(executor, m_context.upstreamConnections), race, decisions);
}

std::optional<TryRequest> RequestSession::startSecondTry()
{
    const TimePoint now = hostNow();
    const std::optional<balancing::Choice> choice = chooseSecondUpstream(now);
    if (!choice) {
        return std::nullopt;
    }
    m_secondNotSent.reset();
    const directory::UpstreamEntry upstream = m_context.directory.find(choice->instance)->entry;
    m_context.secondTries.noteSecondTry();
    m_triedInstances.insert(choice->instance);
    m_attemptState->noteDispatched();
    m_secondExpected = choice->expected;
    m_otherTry = OtherTry{choice->instance, upstream, m_context.balancer.begin(requestProfile(), *choice, now), now, {}, false, now, choice->expected};
    swapTries();
    logOffer(*choice, upstream);
    swapTries();
    TryRequest second;
    second.endpoint = upstream.endpoint;
    second.timeouts = dispatchTimeouts(*choice, now);
    second.source = [this] {
        const bool beside = !m_secondIsCurrent;
        if (beside) {
            swapTries();
        }
        std::optional<http::Request> request = requestForUpstream();
        if (beside) {
            swapTries();
        }
        return request;
    };
    return second;
}

std::optional<balancing::Choice> RequestSession::chooseSecondUpstream(TimePoint now)
{
    // What speaks against a second try is no reason for a rejection, as the first one may still be answered.
    std::string rejectionReason = std::move(m_reason);
    const std::optional<Duration> retryAfter = m_retryAfter;
    const bool retryInVain = m_retryInVain;
    const bool retryNotEarlier = m_retryNotEarlier;
    m_reason.clear();
    std::optional<balancing::Choice> choice = chooseUpstream(now);
    secondtries::SlowTry slow;
    slow.repeatable = m_route->repeatable() && !m_streamStarted;
    slow.attemptsLeft = m_attemptState->mayDispatch();
    slow.retryBudgetLeft = m_context.retryBudget.hasSpare(m_service, now);
    slow.waited = now - m_dispatchedAt;
    slow.timeLeft = remainingTime(now) - ResponseMargin;
    slow.expected = choice ? std::optional<Duration>(choice->expected) : std::nullopt;
    std::optional<NotSentReason> refusal = m_endedByStop ? NotSentReason::Stopping : m_context.secondTries.refusal(requestClass(), slow, now);
    if (!refusal && isQuarantined()) {
        refusal = NotSentReason::Quarantined;
    }
    m_reason = std::move(rejectionReason);
    m_retryAfter = retryAfter;
    m_retryInVain = retryInVain;
    m_retryNotEarlier = retryNotEarlier;
    if (refusal || !m_context.retryBudget.take(m_service, now)) {
        m_secondNotSent = refusal.value_or(NotSentReason::NoRetryBudget);
        return std::nullopt;
    }
    return choice;
}

HeadVerdict RequestSession::judge(TryNumber number, const http::Response &head, bool unexpected)
{
    const ports::ResponseMetadata metadata = metadataOf(head, unexpected);
    if (metadata.attemptId.empty() || metadata.attemptId == m_callerRequest.attemptId) {
        return isAnswer(head, metadata) ? HeadVerdict::Answer : HeadVerdict::NoAnswer;
    }
    const bool beside = (number == TryNumber::Second) != m_secondIsCurrent;
    if (beside) {
        swapTries();
    }
    logForeignAnswer(metadata);
    if (beside) {
        swapTries();
    }
    return HeadVerdict::OtherRequest;
}

void RequestSession::noteTryEnded(TryNumber number, const TryEnd &end)
{
    if (number == TryNumber::Second) {
        swapTries();
        endCurrentTry(end);
        endSecondTry(end.cancelled ? "lost" : "failed", end.cancelled ? std::string_view() : std::string_view(m_reason));
        swapTries();
        return;
    }
    const TimePoint now = hostNow();
    if (end.cancelled) {
        m_context.secondTries.noteLeft(requestClass(), now - m_dispatchedAt, now);
        // The answer would have taken at least as long; without this, an upstream that second tries always outrun would never count as slow.
        m_context.balancer.recordFirstEvent(m_balancerAttempt, now);
    }
    endCurrentTry(end);
    swapTries();
    m_silenceNoted = false;
}

void RequestSession::endCurrentTry(const TryEnd &end)
{
    if (end.cancelled) {
        if (!m_sent) {
            m_attemptState->noteNotSent();
        }
        endTry(balancing::AttemptEnd::Inconclusive);
        return;
    }
    if (end.head) {
        const ports::ResponseMetadata metadata = metadataOf(*end.head, end.unexpected);
        noteStatements(*end.head, metadata);
        const bool pauses = notePause(metadata);
        m_reason = "status " + std::to_string(end.head->status);
        endTry(metadata.notExecuted ? noteNotExecuted(*end.head, pauses) : balancing::AttemptEnd::Failed);
        return;
    }
    if (end.failure.error == http::ClientError::Withdrawn) {
        noteWithdrawn();
        endTry(balancing::AttemptEnd::Inconclusive);
        return;
    }
    noteNoAnswer(end.failure);
    endTry(m_writer.callerGone() ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Failed);
}

void RequestSession::swapTries()
{
    m_secondIsCurrent = !m_secondIsCurrent;
    std::swap(m_instance, m_otherTry->instance);
    std::swap(m_upstream, m_otherTry->upstream);
    std::swap(m_balancerAttempt, m_otherTry->balancerAttempt);
    std::swap(m_dispatchedAt, m_otherTry->dispatchedAt);
    std::swap(m_reason, m_otherTry->reason);
    std::swap(m_sent, m_otherTry->sent);
    std::swap(m_offeredAt, m_otherTry->offeredAt);
    std::swap(m_expected, m_otherTry->expected);
}

void RequestSession::concludeRace(bool answered, std::string_view reason)
{
    if (const std::optional<NotSentReason> notSent = std::exchange(m_secondNotSent, std::nullopt)) {
        m_context.metrics.count("rosemaryshift_second_tries_not_sent_total", R"(reason=")" + std::string(secondtries::name(*notSent)) + R"(")");
    }
    if (m_secondIsCurrent && m_secondTryResult.empty()) {
        endSecondTry(answered ? "won" : "failed", answered ? std::string_view() : reason);
    }
}

void RequestSession::endSecondTry(std::string_view result, std::string_view reason)
{
    m_secondTryResult = result;
    m_context.metrics.count("rosemaryshift_second_tries_total", R"(result=")" + m_secondTryResult + R"(")");
    m_context.eventLog.write("second_try",
                             eventlog::Importance::Ordinary,
                             {{"request", m_callerRequest.attemptId},
                              {"route", m_route->name},
                              {"instance", m_instance},
                              {"first_instance", m_otherTry->instance},
                              {"result", result},
                              {"reason", reason},
                              {"after_ms", wholeMilliseconds(m_dispatchedAt - m_otherTry->dispatchedAt)},
                              {"took_ms", wholeMilliseconds(hostNow() - m_dispatchedAt)},
                              {"expected_ms", wholeMilliseconds(m_secondExpected)}});
}

void RequestSession::noteTimeToAnswer()
{
    // The time of a second try that has won tells nothing of the first one's, which counts as left.
    if (!m_context.secondTries.enabled() || m_viaPeer || m_secondIsCurrent || !m_route->repeatable()) {
        return;
    }
    const TimePoint now = hostNow();
    const TimePoint received = std::max(now - m_context.loopDelay.estimate(now), m_dispatchedAt);
    m_context.secondTries.noteAnswer(requestClass(), received - m_dispatchedAt, now);
}

secondtries::RequestClass RequestSession::requestClass() const
{
    return {m_service, m_route->kind == routing::RequestKind::Streaming, m_callerRequest.promptTokens.value_or(0)};
}

}
