#include "gateway/internal/hostclock.h"
#include "gateway/internal/peerheaders.h"
#include "gateway/internal/requestsession.h"

namespace rosemaryshift::gateway {

void RequestSession::countCallerGone()
{
    std::string_view stage = "received";
    if (m_callerWatched) {
        stage = m_attemptState->mayRejectAsNotRun() ? "routed" : "sent";
    }
    m_context.metrics.count("rosemaryshift_caller_gone_total", R"(stage=")" + std::string(stage) + R"(")");
}

bool RequestSession::callerWaits(TimePoint now)
{
    if (m_writer.detectCallerGone()) {
        m_reason = "caller_gone";
        return false;
    }
    if (remainingTime(now) <= ResponseMargin) {
        m_reason = "deadline_passed";
        return false;
    }
    if (m_endedByStop) {
        m_reason = "stopping";
        return false;
    }
    return true;
}

bool RequestSession::upstreamAccepts(TimePoint now)
{
    const directory::Upstream *const upstream = m_context.directory.usableRun(m_upstream, now);
    if (upstream == nullptr || (m_continuedVersion && !mayBeContinuedBy(*upstream, *m_continuedVersion))) {
        m_reason = "upstream_gone";
        return false;
    }
    if (m_continuation && !mayBeContinuedBy(*upstream, m_continuation->softwareVersion)) {
        m_reason = "upstream_of_other_version";
        return false;
    }
    const rollouts::Rollout *const rollout = m_context.versionGate.find(m_service);
    if (rollout != nullptr && !rollout->maySend(m_upstream.softwareVersion, now)) {
        m_reason = "version_stopped";
        return false;
    }
    if (m_context.upstreamPauses.remaining(m_instance, now)) {
        m_reason = "upstream_paused";
        return false;
    }
    if (!m_context.upstreamLimits.maySend(m_instance, now)) {
        m_reason = "upstream_limited";
        return false;
    }
    return true;
}

std::optional<http::Request> RequestSession::requestForUpstream()
{
    const TimePoint now = hostNow();
    if (!callerWaits(now) || !upstreamAccepts(now)) {
        return std::nullopt;
    }
    m_dispatchedAt = now;
    m_sent = true;
    m_retryTaken = false;
    m_context.upstreamLimits.noteSent(m_instance, now);
    if (rollouts::Rollout *const rollout = m_context.versionGate.find(m_service)) {
        rollout->noteRequest();
    }
    ports::Dispatch dispatch;
    dispatch.timeLeft = atLeastOneMillisecond(remainingTime(now));
    dispatch.instance = m_instance;
    dispatch.workspace = m_workspace != nullptr ? m_workspace->name : "";
    if (m_callerRequest.promptTokens) {
        dispatch.priority = upstreamPriority();
    }
    dispatch.resumeAfter = m_eventSplitter.lastId();
    if (m_continuation) {
        dispatch.memory = m_continuation->memory;
    }

    http::Request request;
    request.method = m_request.method;
    request.target = m_request.target;
    request.headers = m_context.ports.messageCodec->dispatchHeaders(m_request, dispatch);
    request.body = m_request.body;
    return request;
}

std::optional<http::Request> RequestSession::requestForPeer(std::string_view token)
{
    const TimePoint now = hostNow();
    if (!callerWaits(now)) {
        return std::nullopt;
    }
    m_retryTaken = false;
    m_sent = true;
    const std::chrono::milliseconds timeLeft = atLeastOneMillisecond(remainingTime(now) - ResponseMargin);
    http::Request request;
    request.method = m_request.method;
    request.target = m_request.target;
    request.headers = withoutHeader(m_context.ports.messageCodec->forwardedHeaders(m_request, timeLeft), PeerTokenHeader);
    request.headers.add(PeerTokenHeader, token);
    request.body = m_request.body;
    return request;
}

void RequestSession::noteWithdrawn()
{
    m_attemptState->noteNotSent();
    m_triedInstances.erase(m_instance);
    m_viaPeer = false;
    m_context.eventLog.write(
        "withdrawn", eventlog::Importance::Failure, {{"request", m_callerRequest.attemptId}, {"instance", m_instance}, {"reason", m_reason}});
}

}
