#include "gateway/internal/endtoendheaders.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestrun.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// How long a new connection to an upstream may take. Nothing was sent before, so that another upstream can be tried.
constexpr std::chrono::milliseconds ConnectTimeout{400};
/// An upstream may be silent for this many times what was expected, before a request that may run twice goes elsewhere.
constexpr int PatienceFactor = 4;
/// The least patience, and in parts of the latency goal.
constexpr std::chrono::milliseconds LeastPatience{300};
constexpr int GoalsOfPatience = 2;
/// A stream that can be resumed goes elsewhere after a pause of this many times what the operator aims at, and no sooner than the bound.
constexpr int GapFactor = 2;
constexpr std::chrono::milliseconds LeastGap{2'000};
/// When a caller may come back after an upstream was full.
constexpr std::chrono::milliseconds UpstreamFullRetry{150};
/// Answers to earlier requests that are skipped on one connection.
constexpr int MaxSkippedAnswers = 2;

std::chrono::milliseconds whole(Duration duration)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(duration), std::chrono::milliseconds(1));
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

}

http::ClientTimeouts RequestRun::timeouts(const balancing::Choice &choice, TimePoint now) const
{
    const std::chrono::milliseconds timeLeft = whole(left(now) - AnswerMargin);
    http::ClientTimeouts timeouts;
    timeouts.end = std::chrono::steady_clock::now() + timeLeft;
    timeouts.connect = std::min(ConnectTimeout, timeLeft);
    timeouts.header = timeLeft;
    timeouts.body = timeLeft;
    const bool another = m_route->repeatable() && m_state->dispatches() + 1 < m_route->maxAttempts;
    if (another) {
        const std::chrono::milliseconds patience = std::max({whole(choice.expected) * PatienceFactor, m_route->latencyGoal * GoalsOfPatience, LeastPatience});
        timeouts.header = std::min(patience, timeLeft);
    }
    if (another && m_route->kind == routing::RequestKind::Streaming) {
        timeouts.body = std::min(std::max(m_route->gapGoal * GapFactor, LeastGap), timeLeft);
    }
    return timeouts;
}

net::awaitable<RequestRun::OfferEnd> RequestRun::offer(const balancing::Choice &choice, const directory::UpstreamEntry &upstream)
{
    const TimePoint now = hostNow();
    ports::Dispatch dispatch;
    dispatch.timeLeft = whole(left(now));
    dispatch.instance = upstream.instance;
    dispatch.workspace = m_workspace != nullptr ? m_workspace->name : "";
    if (m_caller.promptTokens) {
        dispatch.priority = upstreamPriority();
    }
    dispatch.resumeAfter = m_events.lastId();

    http::Request request;
    request.method = m_request.method;
    request.target = m_request.target;
    request.headers = endToEndHeaders(m_context.ports.messageCodec->dispatchHeaders(m_request, dispatch));
    request.body = m_request.body;

    m_instance = upstream.instance;
    m_tried.insert(m_instance);
    m_state->noteDispatched();
    m_attempt = m_context.balancer.begin(demand(), choice, now);
    m_context.eventLog.write("offered",
                             eventlog::Importance::Ordinary,
                             {{"request", m_caller.attemptId},
                              {"route", m_route->name},
                              {"service", m_service},
                              {"instance", m_instance},
                              {"expected_ms", wholeMilliseconds(choice.expected)},
                              {"uncached_tokens", static_cast<std::int64_t>(choice.uncachedTokens)},
                              {"runner_up", choice.runnerUp},
                              {"runner_up_ms", wholeMilliseconds(choice.runnerUpExpected)},
                              {"left_ms", wholeMilliseconds(left(now))},
                              {"resume_after", dispatch.resumeAfter ? std::string_view(*dispatch.resumeAfter) : std::string_view()}});

    const net::any_io_executor executor = co_await net::this_coro::executor;
    m_exchange = http::makeExchange(executor, m_context.upstreamConnections);
    http::ClientFailure failure;
    const http::ClientTimeouts limits = timeouts(choice, now);
    std::optional<http::Response> answer = co_await m_exchange->open(upstream.endpoint, std::move(request), limits, failure);
    ports::ResponseMetadata metadata;
    for (int skipped = 0; answer; ++skipped) {
        metadata = m_context.ports.messageCodec->responseMetadata(*answer);
        if (metadata.attemptId.empty() || metadata.attemptId == m_caller.attemptId) {
            break;
        }
        m_context.eventLog.write(
            "foreign_answer", eventlog::Importance::Failure, {{"request", m_caller.attemptId}, {"instance", m_instance}, {"answers", metadata.attemptId}});
        if (skipped == MaxSkippedAnswers) {
            m_exchange->cancel();
            failure = {http::ClientError::Malformed, "too many answers to other requests"};
            answer.reset();
            break;
        }
        answer = co_await m_exchange->openNext(failure);
    }
    if (!answer) {
        if (failure.error == http::ClientError::ConnectFailed) {
            m_state->noteNotSent();
        }
        m_reason = "no_answer: " + failure.detail;
        endOffer(m_writer.callerGone() ? balancing::AttemptEnd::Left : balancing::AttemptEnd::Failed);
        co_return OfferEnd::Again;
    }
    const OfferEnd result = co_await takeAnswer(std::move(*answer), metadata);
    co_return result;
}

net::awaitable<RequestRun::OfferEnd> RequestRun::takeAnswer(http::Response answer, const ports::ResponseMetadata &metadata)
{
    if (metadata.notExecuted) {
        const std::optional<std::string> ignored = co_await readBody();
        m_state->noteNotExecuted();
        m_reason = "not_executed: status " + std::to_string(answer.status);
        m_retryAfter = UpstreamFullRetry;
        if (answer.status == 421) {
            m_context.directory.noteMisdirected(m_instance, hostNow());
        }
        endOffer(answer.status == 421 ? balancing::AttemptEnd::Left : balancing::AttemptEnd::Full);
        co_return OfferEnd::Again;
    }
    const bool whole = metadata.attemptId == m_caller.attemptId && (metadata.sealed || !isSuccess(answer.status));
    if (!whole) {
        m_reason = "unsigned answer: status " + std::to_string(answer.status);
        m_exchange->cancel();
        endOffer(balancing::AttemptEnd::Failed);
        co_return OfferEnd::Again;
    }
    if (m_route->kind == routing::RequestKind::Streaming && isSuccess(answer.status)) {
        const OfferEnd result = co_await passOnStream(std::move(answer));
        co_return result;
    }
    const OfferEnd result = co_await passOnWhole(std::move(answer), metadata);
    co_return result;
}

net::awaitable<RequestRun::OfferEnd> RequestRun::passOnStream(http::Response answer)
{
    http::ClientFailure failure;
    while (true) {
        const std::optional<std::string> piece = co_await m_exchange->readSome(failure);
        if (!piece) {
            m_reason = "stream broke: " + failure.detail;
            m_exchange->cancel();
            m_events.discardPartialEvent();
            endOffer(m_writer.callerGone() ? balancing::AttemptEnd::Left : balancing::AttemptEnd::Failed);
            co_return OfferEnd::Again;
        }
        const bool end = piece->empty();
        const std::string events = end ? m_events.partialEvent() : m_events.push(*piece);
        if (events.empty() && !end) {
            continue;
        }
        noteFirst();
        bool open = true;
        if (!m_streaming) {
            m_streaming = true;
            http::Headers headers = endToEndHeaders(answer.headers);
            open = co_await m_writer.begin(answer.status, std::move(headers));
        }
        if (open) {
            open = co_await m_writer.write(events);
        }
        if (open && end) {
            co_await m_writer.end();
            m_state->noteCompleted();
            endOffer(balancing::AttemptEnd::Good);
            logEnd("answered", answer.status, {});
            co_return OfferEnd::Answered;
        }
        if (!open) {
            m_exchange->cancel();
            endOffer(balancing::AttemptEnd::Left);
            logEnd("caller_gone", answer.status, {});
            m_writer.abort();
            co_return OfferEnd::Answered;
        }
    }
}

net::awaitable<RequestRun::OfferEnd> RequestRun::passOnWhole(http::Response answer, const ports::ResponseMetadata &metadata)
{
    std::optional<std::string> body = co_await readBody();
    if (!body) {
        endOffer(m_writer.callerGone() ? balancing::AttemptEnd::Left : balancing::AttemptEnd::Failed);
        co_return OfferEnd::Again;
    }
    noteFirst();
    const bool failed = answer.status >= 500;
    endOffer(failed ? balancing::AttemptEnd::Failed : balancing::AttemptEnd::Good);
    if (failed && mayOfferAgain(hostNow())) {
        m_reason = "status " + std::to_string(answer.status);
        co_return OfferEnd::Again;
    }
    logEnd(failed ? "upstream_error" : "answered", answer.status, metadata.sealed ? "" : "unsealed");
    http::Response response;
    response.status = answer.status;
    response.headers = endToEndHeaders(answer.headers);
    response.body = std::move(*body);
    co_await respond(std::move(response));
    co_return OfferEnd::Answered;
}

net::awaitable<std::optional<std::string>> RequestRun::readBody()
{
    std::string body;
    http::ClientFailure failure;
    while (true) {
        const std::optional<std::string> piece = co_await m_exchange->readSome(failure);
        if (!piece) {
            m_reason = "answer broke: " + failure.detail;
            m_exchange->cancel();
            co_return std::nullopt;
        }
        if (piece->empty()) {
            co_return body;
        }
        body += *piece;
    }
}

void RequestRun::noteFirst()
{
    const TimePoint now = hostNow();
    m_state->noteResponseStarted();
    m_context.balancer.noteFirst(m_attempt, now);
    if (!m_firstAfter) {
        m_firstAfter = now - m_arrived;
    }
    if (!m_usageCounted && m_workspace != nullptr) {
        m_usageCounted = true;
        m_context.usageLedger.count(m_workspace->name, m_context.wallClock.sinceEpoch(now));
    }
}

void RequestRun::endOffer(balancing::AttemptEnd how)
{
    m_context.balancer.end(m_attempt, how, hostNow());
    m_exchange.reset();
    if (how != balancing::AttemptEnd::Good && how != balancing::AttemptEnd::Left) {
        m_context.eventLog.write("offer_failed",
                                 eventlog::Importance::Failure,
                                 {{"request", m_caller.attemptId}, {"instance", m_instance}, {"reason", m_reason}, {"run", name(m_state->executionState())}});
    }
}

}
