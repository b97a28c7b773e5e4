#include "gateway/internal/endtoendheaders.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/peerheaders.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// A request that may run twice is sent to another upstream, if one can take it, when no response starts within this multiple of the expected time.
constexpr int HeaderTimeoutFactor = 4;
/// Lower bound of the time without a response after which a request that may run twice is sent to another upstream.
constexpr std::chrono::milliseconds MinHeaderTimeout{300};
/// A request that may run twice stays with its upstream for at least this multiple of the route's latency goal.
constexpr int LatencyGoalFactor = 2;
/// A resumable stream is continued by another upstream, if one can take it, when no bytes come within this multiple of the route's goal for the gap between
/// events.
constexpr int EventGapFactor = 2;
/// Lower bound of the time after which a resumable stream is continued by another upstream.
constexpr std::chrono::milliseconds MinEventGapTimeout{2'000};
/// Largest body of an answer that is held until it is complete; a faulty upstream may send bytes without end.
constexpr std::size_t MaxAnswerBytes = 8 * 1024 * 1024;

/// Reason of a failure when the answers that are held would take up too much memory together.
constexpr std::string_view HeldBytesExceeded = "the answers that are held take up too much memory";

}

http::ClientTimeouts RequestSession::dispatchTimeouts(const balancing::Choice &choice, TimePoint now) const
{
    const Duration margin = m_streamStarted ? Duration::zero() : Duration(ResponseMargin);
    const std::chrono::milliseconds remaining = atLeastOneMillisecond(remainingTime(now) - margin);
    http::ClientTimeouts timeouts;
    timeouts.end = std::chrono::steady_clock::now() + remaining;
    timeouts.connect = std::min(ConnectTimeout, remaining);
    timeouts.header = remaining;
    timeouts.body = remaining;
    const bool canRetry = m_route->repeatable() && m_attemptState->dispatches() + 1 < m_route->maxAttempts;
    if (canRetry) {
        const std::chrono::milliseconds headerTimeout
            = std::max({atLeastOneMillisecond(choice.expected) * HeaderTimeoutFactor, m_route->latencyGoal * LatencyGoalFactor, MinHeaderTimeout});
        timeouts.header = std::min(headerTimeout, remaining);
    }
    if (canRetry && m_route->kind == routing::RequestKind::Streaming) {
        timeouts.body = std::min(std::max(m_route->gapGoal * EventGapFactor, MinEventGapTimeout), remaining);
    }
    return timeouts;
}

net::awaitable<RequestSession::DispatchResult> RequestSession::dispatchTo(const balancing::Choice &choice, const directory::UpstreamEntry &upstream)
{
    const TimePoint now = hostNow();
    m_sent = false;
    m_secondIsCurrent = false;
    m_viaPeer = false;
    m_instance = upstream.instance;
    m_upstream = upstream;
    m_framing.reset();
    m_silenceNoted = false;
    m_answerNoted = false;
    m_triedInstances.insert(m_instance);
    m_attemptState->noteDispatched();
    m_offeredAt = now;
    m_expected = choice.expected;
    m_upstreamFirst.reset();
    m_pauses.changeUpstream();
    m_balancerAttempt = m_context.balancer.begin(requestProfile(), choice, now);
    logOffer(choice, upstream);

    const net::any_io_executor executor = co_await net::this_coro::executor;
    m_exchange = makeDispatchExchange(executor);
    m_exchange->setSilenceHandler([this] { return leaveSilentUpstream(); });
    http::ClientFailure failure;
    const http::ClientTimeouts limits = dispatchTimeouts(choice, now);
    http::RequestSource source = [this] { return requestForUpstream(); };
    std::optional<http::Response> upstreamResponse = co_await m_exchange->open(upstream.endpoint, std::move(source), limits, failure);
    ports::ResponseMetadata metadata;
    int skipped = 0;
    for (; upstreamResponse; ++skipped) {
        metadata = m_context.ports.messageCodec->responseMetadata(*upstreamResponse);
        if (metadata.attemptId.empty() || metadata.attemptId == m_callerRequest.attemptId) {
            break;
        }
        logForeignAnswer(metadata);
        if (skipped == MaxSkippedResponses) {
            m_exchange->cancel();
            failure = {http::ClientError::Malformed, "too many answers to other requests"};
            upstreamResponse.reset();
            break;
        }
        upstreamResponse = co_await m_exchange->openNext(failure);
    }
    concludeRace(upstreamResponse && isAnswer(*upstreamResponse, metadata),
                 upstreamResponse ? "status " + std::to_string(upstreamResponse->status) : failure.detail);
    if (!upstreamResponse) {
        if (failure.error == http::ClientError::Withdrawn) {
            noteWithdrawn();
            endDispatch(balancing::AttemptEnd::Inconclusive);
            co_return DispatchResult::TryAnother;
        }
        noteNoAnswer(failure);
        endDispatch(m_writer.callerGone() ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Failed);
        co_return DispatchResult::TryAnother;
    }
    const bool unexpected = skipped > 0 || m_exchange->reused();
    metadata = metadataOf(*upstreamResponse, unexpected);
    if (m_continuation && upstreamResponse->status == 503 && !(unexpected && metadata.attemptId.empty())) {
        metadata.notExecuted = true; // So an upstream refuses a handle that it does not know, or that was used.
    }
    m_framing = upstreamResponse->framing;
    const DispatchResult result = co_await handleResponse(std::move(*upstreamResponse), metadata);
    co_return result;
}

net::awaitable<RequestSession::DispatchResult> RequestSession::handleResponse(http::Response upstreamResponse, const ports::ResponseMetadata &metadata)
{
    noteStatements(upstreamResponse, metadata);
    const bool pauses = notePause(metadata);
    if (metadata.notExecuted) {
        http::ClientFailure failure;
        const std::optional<std::string> discardedBody = co_await readBody(failure);
        endDispatch(noteNotExecuted(upstreamResponse, pauses));
        co_return DispatchResult::TryAnother;
    }
    if (!isTrusted(upstreamResponse, metadata)) {
        m_reason = "unsigned answer: status " + std::to_string(upstreamResponse.status);
        m_exchange->cancel();
        endDispatch(balancing::AttemptEnd::Failed);
        co_return DispatchResult::TryAnother;
    }
    if (m_streamStarted && !continuesStream(upstreamResponse)) {
        m_reason = "no continuation of the stream: status " + std::to_string(upstreamResponse.status);
        m_exchange->cancel();
        endDispatch(balancing::AttemptEnd::Failed);
        co_return DispatchResult::TryAnother;
    }
    if (m_route->kind == routing::RequestKind::Streaming && isSuccess(upstreamResponse.status)) {
        const DispatchResult result = co_await forwardStream(std::move(upstreamResponse));
        co_return result;
    }
    const DispatchResult result = co_await forwardWhole(std::move(upstreamResponse), metadata);
    co_return result;
}

net::awaitable<RequestSession::DispatchResult> RequestSession::forwardStream(http::Response upstreamResponse)
{
    http::ClientFailure failure;
    bool receivedEvent = false;
    followRun();
    while (true) {
        std::optional<std::string> chunk = co_await m_exchange->readSome(failure);
        bool stopped = false;
        if (chunk && chunk->empty() && endMayBeStop()) {
            stopped = co_await awaitStop();
        }
        m_partialEventBytes = m_eventSplitter.partialEvent().size();
        const bool fits = m_heldAnswer.resize(m_partialEventBytes);
        if (chunk && chunk->empty() && (stopped || isTruncatedStream(receivedEvent))) {
            failure = {http::ClientError::Closed, "it ended before the end of an event"};
            chunk.reset();
        } else if (m_eventSplitter.overflowed()) {
            failure = {http::ClientError::Malformed, "an event is too large"};
            chunk.reset();
        } else if (!fits) {
            failure = {http::ClientError::Cancelled, std::string(HeldBytesExceeded)};
            chunk.reset();
        }
        if (!chunk) {
            m_reason = "stream broke: " + failure.detail;
            const bool moved = co_await awaitMove();
            if (!moved) {
                noteBroken(failure);
            }
            m_exchange->cancel();
            m_eventSplitter.discardPartialEvent();
            endDispatch(moved || m_writer.callerGone() ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Failed);
            co_return DispatchResult::TryAnother;
        }
        const bool end = chunk->empty();
        const std::string events = end ? m_eventSplitter.partialEvent() : m_eventSplitter.push(*chunk);
        if (events.empty() && !end) {
            continue;
        }
        receivedEvent = true;
        noteFirstByte(!events.empty());
        if (!events.empty()) {
            noteEvents();
        }
        bool callerConnected = true;
        if (!m_streamStarted) {
            noteTimeToAnswer();
            const bool mayBegin = co_await beginStream();
            if (!mayBegin) {
                m_exchange->cancel();
                endDispatch(balancing::AttemptEnd::Inconclusive);
                co_return DispatchResult::TryAnother;
            }
            m_streamStarted = true;
            // Events are passed on as they come, so that no time has to be reserved for it.
            m_exchange->setEnd(std::chrono::steady_clock::now() + remainingTime(hostNow()));
            m_streamFormat = streamFormat(upstreamResponse);
            http::Headers headers = endToEndHeaders(upstreamResponse.headers);
            if (m_fromPeer) {
                headers.add(PeerAnswerHeader, "1");
            }
            callerConnected = co_await m_writer.begin(upstreamResponse.status, std::move(headers));
        }
        if (callerConnected) {
            callerConnected = co_await m_writer.write(events);
            notePassedOn(callerConnected ? std::string_view(events) : std::string_view());
        }
        if (end || !callerConnected) {
            endRun();
        }
        if (callerConnected && end) {
            co_await m_writer.end();
            m_attemptState->noteCompleted();
            m_context.quarantine.noteCompleted(requestTraits(), hostNow());
            endDispatch(balancing::AttemptEnd::Succeeded);
            logOutcome("answered", upstreamResponse.status, {});
            co_return DispatchResult::Done;
        }
        if (!callerConnected) {
            m_exchange->cancel();
            endDispatch(balancing::AttemptEnd::Inconclusive);
            logOutcome("caller_gone", upstreamResponse.status, {});
            m_writer.abort();
            co_return DispatchResult::Done;
        }
    }
}

bool RequestSession::isTruncatedStream(bool receivedEvent) const
{
    // The end of the connection is also what a crash looks like, so that only a whole event shows that the upstream had answered.
    const bool endUnproven = m_framing == http::BodyFraming::Connection && !receivedEvent;
    return endUnproven || m_eventSplitter.insideEvent();
}

net::awaitable<RequestSession::DispatchResult> RequestSession::forwardWhole(http::Response upstreamResponse, const ports::ResponseMetadata &metadata)
{
    if (upstreamResponse.status < 500) {
        noteTimeToAnswer();
    }
    http::ClientFailure failure;
    std::optional<std::string> body = co_await readBody(failure);
    if (!body) {
        noteBroken(failure);
        endDispatch(m_writer.callerGone() ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Failed);
        co_return DispatchResult::TryAnother;
    }
    noteFirstByte(false);
    m_context.quarantine.noteCompleted(requestTraits(), hostNow());
    const bool failed = upstreamResponse.status >= 500;
    if (metadata.pause) {
        endDispatch(balancing::AttemptEnd::Inconclusive);
    } else {
        endDispatch(failed ? balancing::AttemptEnd::Failed : balancing::AttemptEnd::Succeeded);
    }
    if (failed && endsBeforeStop(Duration::zero(), hostNow()) && mayRetry(hostNow())) {
        m_reason = "status " + std::to_string(upstreamResponse.status);
        co_return DispatchResult::TryAnother;
    }
    logOutcome(failed ? "upstream_error" : "answered", upstreamResponse.status, metadata.sealed ? "" : "unsealed");
    http::Response response;
    response.status = upstreamResponse.status;
    response.headers = endToEndHeaders(upstreamResponse.headers);
    response.body = std::move(*body);
    co_await respond(std::move(response));
    co_return DispatchResult::Done;
}

net::awaitable<std::optional<std::string>> RequestSession::readBody(http::ClientFailure &failure)
{
    std::string body;
    m_heldAnswer.release();
    while (true) {
        const std::optional<std::string> chunk = co_await m_exchange->readSome(failure);
        if (!chunk) {
            m_reason = "answer broke: " + failure.detail;
            m_exchange->cancel();
            co_return std::nullopt;
        }
        if (chunk->empty()) {
            co_return body;
        }
        const bool tooLarge = body.size() + chunk->size() > MaxAnswerBytes;
        if (tooLarge || !m_heldAnswer.resize(body.size() + chunk->size())) {
            failure = tooLarge ? http::ClientFailure{http::ClientError::Malformed, "the answer is too large"}
                               : http::ClientFailure{http::ClientError::Cancelled, std::string(HeldBytesExceeded)};
            m_reason = "answer broke: " + failure.detail;
            m_exchange->cancel();
            co_return std::nullopt;
        }
        body += *chunk;
    }
}

}
