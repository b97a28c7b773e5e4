#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"
#include "limits/connectionshare.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Number of empty lines, each of which ends an event, in @p events.
std::uint64_t countEvents(std::string_view events)
{
    std::uint64_t count = 0;
    for (std::size_t line = events.find('\n'); line != std::string_view::npos; line = events.find('\n', line + 1)) {
        const std::string_view rest = events.substr(line + 1);
        count += rest.starts_with('\n') || rest.starts_with("\r\n") ? 1 : 0;
    }
    return count;
}

}

void RequestSession::followRun()
{
    StreamMoves *const streamMoves = m_context.streamMoves;
    if (m_continuation) {
        streamMoves->noteResumed(*m_run);
        m_continuation.reset();
        ++m_moves;
    }
    m_run.reset();
    if (streamMoves != nullptr && m_callerRequest.promptTokens && streamMoves->covers(*m_routeTable, *m_route, m_service)) {
        m_run = streamMoves->follow(m_callerRequest.attemptId, m_upstream, *m_routeTable->service(m_service)->engine, weak_from_this());
    }
}

void RequestSession::notePassedOn(std::string_view events)
{
    m_passedOnBytes += events.size();
    if (m_run) {
        m_passedOnEvents += countEvents(events);
    }
}

void RequestSession::endRun()
{
    m_continuation.reset();
    if (const std::shared_ptr<MovableRun> run = std::exchange(m_run, nullptr)) {
        m_context.streamMoves->end(*run);
    }
}

moves::StreamProgress RequestSession::progress(TimePoint now) const
{
    moves::StreamProgress progress;
    progress.promptTokens = m_callerRequest.promptTokens.value_or(0);
    progress.passedTokens = m_passedOnEvents * (m_run ? m_run->engine.tokensPerEvent : 1);
    progress.mostTokens = m_callerRequest.maxOutputTokens;
    progress.expectedTokens = m_callerRequest.expectedOutputTokens;
    progress.generatingFor = m_firstByteLatency ? now - m_arrivedAt - *m_firstByteLatency : Duration::zero();
    return progress;
}

std::optional<balancing::Choice> RequestSession::chooseDestination(const std::set<std::string> &excluded, TimePoint now)
{
    const routing::Service *const service = m_routeTable->service(m_service);
    const std::uint32_t maxRequests = limits::connectionShare(service != nullptr ? service->maxConnections : 0, m_context.hostCount);
    std::vector<balancing::Candidate> staying;
    std::vector<balancing::Candidate> reclaimable;
    for (const directory::Upstream *const upstream : m_context.directory.usable(m_service, now)) {
        const directory::UpstreamEntry &entry = upstream->entry;
        if (entry.instance == m_instance || excluded.contains(entry.instance) || !mayBeContinuedBy(*upstream, m_upstream.softwareVersion)
            || m_context.upstreamPauses.remaining(entry.instance, now) || !m_context.upstreamLimits.maySend(entry.instance, now)) {
            continue;
        }
        const bool zoneUnreachable = entry.zone != m_context.settings.zone && m_context.silentZones.contains(entry.zone);
        // The reclaimable upstreams of a zone are taken away together.
        std::vector<balancing::Candidate> &candidates = entry.reclaimable && entry.zone == m_upstream.zone ? reclaimable : staying;
        candidates.push_back({entry.instance, entry.zone, entry.slots, maxRequests, zoneUnreachable});
    }
    balancing::RequestProfile profile; // Without a prompt, of which nothing is read again.
    profile.service = m_service;
    profile.zone = m_upstream.zone;
    std::optional<balancing::Choice> choice = m_context.balancer.choose(profile, staying, now);
    return choice ? choice : m_context.balancer.choose(profile, reclaimable, now);
}

void RequestSession::stopReading()
{
    if (m_exchange) {
        m_exchange->cancel();
    }
}

net::awaitable<bool> RequestSession::awaitMove()
{
    if (m_continuation) {
        co_return true;
    }
    if (!m_run || !m_run->called || m_writer.callerGone() || m_endedByStop || !m_eventSplitter.lastId()) {
        endRun();
        co_return false;
    }
    const std::shared_ptr<MovableRun> run = m_run;
    m_continuation = co_await m_context.streamMoves->continuationOf(run);
    if (!m_continuation) {
        m_run.reset();
    }
    co_return m_continuation.has_value();
}

bool RequestSession::endMayBeStop() const
{
    return m_framing == http::BodyFraming::Connection && m_run && m_run->called;
}

net::awaitable<bool> RequestSession::awaitStop()
{
    const std::shared_ptr<MovableRun> run = m_run;
    const bool moved = co_await awaitMove();
    co_return moved || run->move.mayHaveStopped();
}

net::awaitable<RequestSession::DispatchResult> RequestSession::dispatchContinuation()
{
    const Continuation continuation = *m_continuation;
    const std::shared_ptr<MovableRun> run = m_run;
    if (m_writer.callerGone() || m_endedByStop || remainingTime(hostNow()) <= Duration::zero()) {
        endRun();
        co_return DispatchResult::TryAnother;
    }
    m_attemptState->noteMoved();
    const DispatchResult result = co_await dispatchTo(continuation.choice, continuation.destination);
    const bool accepted = m_run != run;
    if (result == DispatchResult::Done || accepted) {
        co_return result;
    }
    // The state before the dispatch is restored when the destination is known not to have run the request.
    const bool notRun = m_attemptState->executionState() == ExecutionState::Responding;
    if (!notRun || m_writer.callerGone() || m_endedByStop) {
        endRun();
        co_return result;
    }
    m_continuation = co_await m_context.streamMoves->continuationAfterRefusal(run);
    co_return result;
}

}
