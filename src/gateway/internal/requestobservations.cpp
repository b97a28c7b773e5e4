#include "base/text.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"
#include "gateway/internal/suspectrecorder.h"

namespace rosemaryshift::gateway {

namespace {

/// Name of a request kind in log lines and metrics.
std::string_view kindName(routing::RequestKind kind)
{
    switch (kind) {
    case routing::RequestKind::Idempotent:
        return "idempotent";
    case routing::RequestKind::NonIdempotent:
        return "non_idempotent";
    case routing::RequestKind::Streaming:
        return "streaming";
    }
    return "unknown";
}

/// Maximum number of a prompt's parts that are logged with a failure.
constexpr std::size_t MaxLoggedParts = 8;
/// Retry-After for a caller whose request an upstream did not execute, as when it was full.
constexpr std::chrono::milliseconds UpstreamFullRetryDelay{150};

/// The ids of the first @p parts, in hexadecimal with commas between them, as callers write them.
std::string promptPartIds(std::span<const ports::PromptPart> parts)
{
    std::string text;
    for (const ports::PromptPart &part : parts.first(std::min(parts.size(), MaxLoggedParts))) {
        if (!text.empty()) {
            text += ',';
        }
        text += hexadecimal(part.id);
    }
    return text;
}

}

void RequestSession::logOffer(const balancing::Choice &choice, const directory::UpstreamEntry &upstream)
{
    const std::optional<std::string> resumeAfter = m_eventSplitter.lastId();
    m_context.eventLog.write("offered",
                             eventlog::Importance::Ordinary,
                             {{"request", m_callerRequest.attemptId},
                              {"route", m_route->name},
                              {"service", m_service},
                              {"instance", m_instance},
                              {"version", upstream.softwareVersion},
                              {"expected_ms", wholeMilliseconds(choice.expected)},
                              {"uncached_tokens", static_cast<std::int64_t>(choice.uncachedTokens)},
                              {"runner_up", choice.runnerUp},
                              {"runner_up_ms", wholeMilliseconds(choice.runnerUpExpected)},
                              {"left_ms", wholeMilliseconds(remainingTime(hostNow()))},
                              {"resume_after", resumeAfter ? std::string_view(*resumeAfter) : std::string_view()},
                              {"caller_resumes", m_callerRequest.resumedAttempt},
                              {"caller_resume_after", m_callerRequest.lastEventId.value_or("")}});
}

ports::ResponseMetadata RequestSession::metadataOf(const http::Response &response, bool unexpected) const
{
    ports::ResponseMetadata metadata = m_context.ports.messageCodec->responseMetadata(response);
    if (metadata.attemptId.empty() && unexpected) {
        metadata.notExecuted = false;
        metadata.pause.reset();
    }
    return metadata;
}

bool RequestSession::isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool RequestSession::isTrusted(const http::Response &response, const ports::ResponseMetadata &metadata) const
{
    return metadata.attemptId == m_callerRequest.attemptId && (metadata.sealed || !isSuccess(response.status));
}

bool RequestSession::isAnswer(const http::Response &response, const ports::ResponseMetadata &metadata) const
{
    return isTrusted(response, metadata) && !metadata.notExecuted && response.status < 500;
}

void RequestSession::noteStatements(const http::Response &upstreamResponse, const ports::ResponseMetadata &metadata)
{
    // An answer to another request, or of another instance at the same address, says nothing about this instance.
    if (metadata.attemptId != m_callerRequest.attemptId || upstreamResponse.status == 421) {
        return;
    }
    m_context.runContinuity.noteAnswer(m_instance, hostNow());
    m_context.upstreamReach.noteReached(m_service);
    noteLoad(metadata);
    if (metadata.leaving) {
        m_context.directory.noteLeaving(m_instance);
    }
    if (metadata.requestLimitMalformed) {
        m_context.eventLog.write(
            "upstream_limit_unreadable", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}, {"instance", m_instance}});
        return;
    }
    m_context.upstreamLimits.noteAnswer(m_instance, metadata.requestLimit, m_dispatchedAt, hostNow());
}

void RequestSession::noteEstimate()
{
    if (m_callerRequest.expectedOutputMalformed) {
        m_context.metrics.count("rosemaryshift_unreadable_estimates_total", {});
        m_context.eventLog.write("estimate_unreadable", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}});
    }
}

void RequestSession::noteLoad(const ports::ResponseMetadata &metadata)
{
    if (metadata.loadMalformed) {
        m_context.metrics.count("rosemaryshift_upstream_load_unreadable_total", R"(service=")" + m_service + R"(")");
        m_context.eventLog.write("upstream_load_unreadable", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}, {"instance", m_instance}});
    }
    if (metadata.load && requestProfile().pooledSpeeds) {
        m_context.balancer.recordStatement(m_instance, *metadata.load, hostNow());
    }
}

bool RequestSession::notePause(const ports::ResponseMetadata &metadata)
{
    // A refusal may lack the id of the request, but then it is the first answer on its connection.
    if (metadata.pauseMalformed) {
        m_context.eventLog.write(
            "upstream_pause_unreadable", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}, {"instance", m_instance}});
    }
    if (!metadata.pause) {
        return false;
    }
    m_context.upstreamPauses.note(m_instance, *metadata.pause, hostNow());
    return true;
}

void RequestSession::noteBroken(const http::ClientFailure &failure)
{
    if (m_viaPeer) {
        return;
    }
    if (failure.error == http::ClientError::Malformed) {
        m_context.metrics.count("rosemaryshift_malformed_answers_total", R"(service=")" + m_service + R"(")");
    }
    const bool broken = failure.error == http::ClientError::Closed || failure.error == http::ClientError::SendFailed;
    if (failure.error == http::ClientError::ConnectFailed || (broken && !m_context.upstreamConnections->hasOpen(m_upstream.endpoint))) {
        m_context.runContinuity.noteConnectionsLost(m_instance, hostNow());
    }
    // Silence and bytes that are no answer come from the network or a faulty upstream, not from a crash.
    if (failure.error == http::ClientError::Closed && !m_writer.callerGone()) {
        m_context.quarantine.noteBroken(requestTraits(), m_instance, m_dispatchedAt, hostNow());
        m_context.suspectRecorder->noteCrash();
    }
}

void RequestSession::noteFirstByte(bool isEvent)
{
    const TimePoint now = hostNow();
    noteAnswering();
    noteRolloutAnswer(now);
    m_attemptState->noteResponseStarted();
    // The time for which the event has waited for this host is not the upstream's.
    const TimePoint arrivedAt = std::max(now - m_context.loopDelay.estimate(now), m_dispatchedAt);
    if (m_moves == 0) { // The first event of a run that went on elsewhere says nothing about how prompts are read there.
        m_context.balancer.recordFirstEvent(m_balancerAttempt, arrivedAt, isEvent);
    }
    if (!m_upstreamFirst && !m_viaPeer) {
        m_upstreamFirst = arrivedAt - m_offeredAt;
        const double expected = std::max(1.0, static_cast<double>(m_expected.count()));
        m_context.metrics.observeRatio(
            "rosemaryshift_first_event_over_expected", R"(service=")" + m_service + R"(")", static_cast<double>(m_upstreamFirst->count()) / expected);
    }
    if (!m_firstByteLatency) {
        m_firstByteLatency = now - m_arrivedAt;
    }
    if (!m_usageCounted && m_workspace != nullptr && !m_viaPeer) {
        m_usageCounted = true;
        m_context.usageLedger.count(m_workspace->name, m_context.wallClock.sinceEpoch(now));
    }
}

balancing::AttemptEnd RequestSession::noteNotExecuted(const http::Response &response, bool pauses)
{
    m_attemptState->noteNotExecuted();
    m_reason = "not_executed: status " + std::to_string(response.status);
    m_retryAfter = UpstreamFullRetryDelay;
    if (response.status == 421) {
        m_context.directory.noteMisdirected(m_instance, hostNow());
    }
    return pauses || response.status == 421 ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Rejected;
}

void RequestSession::noteNoAnswer(const http::ClientFailure &failure)
{
    if (!m_sent) {
        m_attemptState->noteNotSent();
    }
    noteBroken(failure);
    noteUnreached(failure);
    m_reason = "no_answer: " + failure.detail;
}

void RequestSession::logForeignAnswer(const ports::ResponseMetadata &metadata)
{
    m_context.eventLog.write(
        "foreign_answer", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}, {"instance", m_instance}, {"answers", metadata.attemptId}});
}

rollouts::Rollout *RequestSession::rollout() const
{
    return m_viaPeer ? nullptr : m_context.versionGate.find(m_service);
}

void RequestSession::noteRolloutAnswer(TimePoint now)
{
    rollouts::Rollout *const rolledOut = rollout();
    if (rolledOut == nullptr || m_answerNoted) {
        return;
    }
    m_answerNoted = true;
    rolledOut->noteAnswer(m_upstream.softwareVersion, m_route->name, now - m_dispatchedAt);
}

void RequestSession::noteRolloutEnd(balancing::AttemptEnd how)
{
    rollouts::Rollout *const rolledOut = rollout();
    if (rolledOut == nullptr || !m_sent) {
        return;
    }
    if (how == balancing::AttemptEnd::Failed) {
        rolledOut->noteFailure(m_upstream.softwareVersion, m_instance, m_route->name);
    } else if (how == balancing::AttemptEnd::Inconclusive && m_writer.callerGone()) {
        noteRolloutAnswer(hostNow()); // It would have taken at least this long.
    }
}

void RequestSession::noteEvents()
{
    m_pauses.noteEvents(hostNow());
}

void RequestSession::countPauses()
{
    const std::optional<Duration> longest = m_pauses.longest();
    if (!longest || m_route == nullptr) {
        return;
    }
    m_context.metrics.observe("rosemaryshift_stream_gap_seconds", R"(service=")" + m_service + R"(")", *longest);
    if (m_route->gapGoal > std::chrono::milliseconds::zero() && *longest > m_route->gapGoal) {
        m_context.metrics.count("rosemaryshift_streams_over_gap_goal_total", R"(route=")" + m_route->name + R"(")");
    }
}

void RequestSession::endDispatch(balancing::AttemptEnd how)
{
    m_context.balancer.recordGaps(m_balancerAttempt, m_pauses.upstreamGaps(), m_pauses.upstreamTotal(), hostNow());
    m_exchange.reset();
    endTry(how);
}

void RequestSession::endTry(balancing::AttemptEnd how)
{
    m_context.balancer.end(m_balancerAttempt, how, hostNow());
    if (m_sent && !m_viaPeer) {
        m_context.quarantine.notePresence(m_service, m_instance, m_dispatchedAt, hostNow());
    }
    noteRolloutEnd(how);
    if (how != balancing::AttemptEnd::Succeeded && how != balancing::AttemptEnd::Inconclusive) {
        m_context.eventLog.write("offer_failed",
                                 eventlog::Importance::Failure,
                                 {{"request", m_callerRequest.attemptId},
                                  {"instance", m_instance},
                                  {"reason", m_reason},
                                  {"run", name(m_attemptState->executionState())},
                                  {"answer_begun", m_framing.has_value()},
                                  {"prompt_parts", promptPartIds(m_callerRequest.sharedPromptParts())},
                                  {"fingerprint", hexadecimal(m_fingerprint)}});
    }
}

void RequestSession::logOutcome(std::string_view outcome, int status, std::string_view reason)
{
    const TimePoint now = hostNow();
    const std::string_view kind = m_route != nullptr ? kindName(m_route->kind) : "unrouted";
    m_context.metrics.count("rosemaryshift_requests_total", R"(kind=")" + std::string(kind) + R"(",outcome=")" + std::string(outcome) + R"(")");
    if (m_firstByteLatency) {
        m_context.metrics.observe("rosemaryshift_first_byte_seconds", R"(kind=")" + std::string(kind) + R"(")", *m_firstByteLatency);
    }
    countPauses();
    if (outcome == "caller_gone") {
        countCallerGone();
    }
    if (m_moves > 0) {
        m_context.metrics.count("rosemaryshift_moved_streams_total", R"(outcome=")" + std::string(outcome) + R"(")");
    }
    const bool good = outcome == "answered";
    if (good) {
        noteAnswerTime(now);
    }
    std::vector<eventlog::Field> fields{{"request", m_callerRequest.attemptId},
                                        {"kind", kind},
                                        {"route", m_route != nullptr ? std::string_view(m_route->name) : std::string_view()},
                                        {"workspace", m_workspace != nullptr ? std::string_view(m_workspace->name) : std::string_view()},
                                        {"configuration", static_cast<std::int64_t>(m_routeTable ? m_routeTable->configuration().version : 0)},
                                        {"known_configuration", static_cast<std::int64_t>(m_context.configuration.knownVersion())},
                                        {"configuration_age_ms", wholeMilliseconds(m_context.configuration.age(now).value_or(Duration::zero()))},
                                        {"outcome", outcome},
                                        {"status", static_cast<std::int64_t>(status)},
                                        {"reason", reason},
                                        {"run", m_attemptState ? name(m_attemptState->executionState()) : std::string_view("not_offered")},
                                        {"offers", static_cast<std::int64_t>(m_attemptState ? m_attemptState->dispatches() : 0)},
                                        {"instance", m_instance},
                                        {"framing", m_framing ? http::name(*m_framing) : std::string_view()},
                                        {"partial_event_bytes", static_cast<std::int64_t>(m_partialEventBytes)},
                                        {"moves", static_cast<std::int64_t>(m_moves)},
                                        {"passed_on_bytes", static_cast<std::int64_t>(m_passedOnBytes)},
                                        {"first_ms", m_firstByteLatency ? wholeMilliseconds(*m_firstByteLatency) : std::int64_t{-1}},
                                        {"expected_ms", m_upstreamFirst ? wholeMilliseconds(m_expected) : std::int64_t{-1}},
                                        {"upstream_first_ms", m_upstreamFirst ? wholeMilliseconds(*m_upstreamFirst) : std::int64_t{-1}},
                                        {"longest_gap_ms", m_pauses.longest() ? wholeMilliseconds(*m_pauses.longest()) : std::int64_t{-1}},
                                        {"retry_after_ms", outcome == "refused" && m_retryAfter ? wholeMilliseconds(*m_retryAfter) : std::int64_t{-1}},
                                        {"waited_ms", wholeMilliseconds(m_handledAt - m_arrivedAt)},
                                        {"took_ms", wholeMilliseconds(now - m_arrivedAt)},
                                        {"left_ms", wholeMilliseconds(remainingTime(now))}};
    if (!m_secondTryResult.empty()) {
        fields.push_back({"second_try", m_secondTryResult});
    }
    m_context.eventLog.write("request_ended", good ? eventlog::Importance::Ordinary : eventlog::Importance::Failure, std::span<const eventlog::Field>(fields));
}

}
