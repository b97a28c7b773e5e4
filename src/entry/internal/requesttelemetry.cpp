#include "entry/internal/requesttelemetry.h"

#include "base/text.h"

#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>

namespace rosemaryshift::entry {

using metrics::RequestLabels;
using metrics::RequestOutcome;
using requests::RequestRecord;
using timeline::EventFields;
using timeline::EventKind;

namespace {

std::string rounded(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

std::string routeText(const decisions::RouteReason &reason)
{
    if (reason.reconnect) {
        return "new connection to the same upstream";
    }
    return std::string(reason.retry ? "retry, " : "") + std::to_string(reason.candidates) + " candidates, " + std::to_string(reason.ownInFlight)
        + " of ours in flight there" + (reason.score > 0 ? ", score " + rounded(reason.score) : std::string());
}

RequestLabels labelsOf(const RequestRecord &record)
{
    return {record.spec.workspace, record.spec.trafficClass};
}

Duration sinceArrival(const RequestRecord &record)
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - record.arrivedAt);
}

}

RequestTelemetry::RequestTelemetry(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics)
    : m_timeline(std::move(timeline))
    , m_metrics(std::move(metrics))
{
}

std::string RequestTelemetry::attemptText(AttemptId attempt)
{
    return std::to_string(static_cast<std::uint64_t>(attempt));
}

void RequestTelemetry::arrived(const RequestRecord &record)
{
    const requests::RequestSpec &spec = record.spec;
    m_timeline->record(record.suspended ? EventKind::RequestResumed : EventKind::RequestAccepted,
                       {.request = record.id, .workspace = spec.workspace, .detail = std::string(name(spec.trafficClass)) + " for " + spec.target});
}

void RequestTelemetry::queued(const RequestRecord &record, std::uint32_t ahead)
{
    if (m_queued.insert(record.number).second) {
        m_metrics->adjustQueuedRequests(labelsOf(record), 1);
    }
    m_timeline->record(EventKind::RequestQueued,
                       {.request = record.id, .workspace = record.spec.workspace, .detail = std::to_string(ahead) + " of the workspace ahead"});
}

void RequestTelemetry::countLeftQueue(const RequestRecord &record)
{
    if (m_queued.erase(record.number) > 0) {
        m_metrics->adjustQueuedRequests(labelsOf(record), -1);
    }
}

void RequestTelemetry::routed(const RecordPtr &record, AttemptId attempt, const std::string &upstream, const decisions::RouteReason &reason)
{
    countLeftQueue(*record);
    const bool isChat = record->spec.kind == requests::RequestKind::Chat;
    const std::uint64_t tokensSoFar = record->transcript.prefix().tokens;
    m_attempts[attempt] = {record, upstream, isChat && tokensSoFar == 0};
    if (isChat && (reason.retry || tokensSoFar > 0)) {
        m_metrics->countRecomputedTokens(record->spec.promptTokens + tokensSoFar);
    }
    if (tokensSoFar > 0) {
        noteResume(*record, attempt, tokensSoFar);
    }
    EventFields fields = fieldsOf(attempt);
    fields.detail = routeText(reason);
    m_timeline->record(hasRunningAttempt(record->number) ? EventKind::RequestHedged : EventKind::RequestRouted, std::move(fields));
    ++m_runningAttempts[record->number];
}

bool RequestTelemetry::hasRunningAttempt(RequestId request) const
{
    return m_runningAttempts.contains(request);
}

void RequestTelemetry::noteResume(const RequestRecord &record, AttemptId attempt, std::uint64_t tokensSoFar)
{
    const std::uint64_t recomputed = record.spec.promptTokens + tokensSoFar;
    EventFields fields = fieldsOf(attempt);
    fields.detail = "resumes behind " + std::to_string(tokensSoFar) + " tokens, " + std::to_string(recomputed) + " to recompute";
    m_timeline->record(EventKind::RequestMoved, std::move(fields));
}

EventFields RequestTelemetry::fieldsOf(AttemptId attempt) const
{
    EventFields fields{.attempt = attemptText(attempt)};
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end()) {
        fields.request = found->second.record->id;
        fields.workspace = found->second.record->spec.workspace;
        fields.upstream = found->second.upstream;
    }
    return fields;
}

void RequestTelemetry::attemptProgressed(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || !found->second.awaitsFirstToken) {
        return;
    }
    found->second.awaitsFirstToken = false;
    const RequestRecord &record = *found->second.record;
    m_metrics->recordFirstTokenLatency(labelsOf(record), sinceArrival(record));
}

void RequestTelemetry::attemptEnded(AttemptId attempt, const upstreams::AttemptResult &result)
{
    EventFields fields = fieldsOf(attempt);
    fields.detail = std::string(name(result.outcome)) + ": " + result.reason;
    spdlog::debug("event=attempt_ended request={} attempt={} upstream={} why=\"{}\"", fields.request, fields.attempt, fields.upstream, fields.detail);
    m_timeline->record(EventKind::AttemptEnded, std::move(fields));
    m_metrics->countAttempt(name(result.outcome));
    forget(attempt);
}

void RequestTelemetry::forget(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const auto running = m_runningAttempts.find(found->second.record->number);
    if (--running->second == 0) {
        m_runningAttempts.erase(running);
    }
    m_attempts.erase(found);
}

void RequestTelemetry::attemptCancelled(AttemptId attempt)
{
    m_timeline->record(EventKind::AttemptCancelled, fieldsOf(attempt));
}

void RequestTelemetry::completed(const RequestRecord &record, AttemptId attempt)
{
    m_timeline->record(EventKind::RequestCompleted, {.request = record.id, .attempt = attemptText(attempt), .workspace = record.spec.workspace});
    m_metrics->countRequest(labelsOf(record), RequestOutcome::Completed, {});
    m_metrics->recordTotalLatency(labelsOf(record), sinceArrival(record));
}

void RequestTelemetry::replayed(const RequestRecord &record)
{
    m_timeline->record(EventKind::RequestCompleted, {.request = record.id, .workspace = record.spec.workspace, .detail = "first answer under the key"});
    m_metrics->countRequest(labelsOf(record), RequestOutcome::Completed, {});
    m_metrics->recordTotalLatency(labelsOf(record), sinceArrival(record));
}

void RequestTelemetry::refused(const RequestRecord &record, std::string_view code, RunState run)
{
    countLeftQueue(record);
    const std::string_view runText = name(run);
    m_timeline->record(EventKind::RequestRefused,
                       {.request = record.id, .workspace = record.spec.workspace, .detail = std::string(code) + ", " + std::string(runText)});
    m_metrics->countRequest(labelsOf(record), RequestOutcome::Refused, code);
    spdlog::info("event=request_refused request={} workspace={} class={} target={} code={} run={}",
                 record.id,
                 record.spec.workspace,
                 name(record.spec.trafficClass),
                 record.spec.target,
                 code,
                 runText);
}

void RequestTelemetry::callerGone(const RequestRecord &record)
{
    countLeftQueue(record);
    m_timeline->record(EventKind::CallerGone, {.request = record.id, .workspace = record.spec.workspace});
    m_metrics->countRequest(labelsOf(record), RequestOutcome::CallerGone, {});
}

}
