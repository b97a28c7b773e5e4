#include "gateway/internal/requestsession.h"

#include "gateway/internal/endtoendheaders.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/peerheaders.h"
#include "gateway/internal/suspectrecorder.h"
#include "quarantine/requestfingerprint.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Time that a caller is assumed to wait when its request does not tell.
constexpr std::chrono::milliseconds DefaultTimeout{30'000};
/// Part of the revocation bound beyond which a configuration is too old to accept API keys; the rest covers the time between the check and the
/// dispatch.
constexpr double KeyTrustPart = 0.95;
/// Age, as a multiple of the bound on the configuration delay, beyond which the configuration may lack routes and API keys that exist by now. Unknown
/// ones are then rejected as temporary (503), else for good (404, 401).
constexpr double CurrentConfigurationFactor = 1.5;
/// Retry-After for a caller of a host whose configuration is missing, too old or lacks a service for the route.
constexpr std::chrono::milliseconds ConfigurationRetryDelay{500};
/// Retry-After for a caller whose request is kept from the upstreams because its trial could not be recorded.
constexpr std::chrono::seconds TrialRetryDelay{1};
/// Retry-After is randomized by up to this part, to spread the retries: in both directions, or upwards when an earlier retry would be in vain.
constexpr double RetryJitter = 0.5;

/// Removes the headers that concern the caller's connection only, before this host adds its own, which a caller must not remove.
http::Request endToEndRequest(http::Request request, const ports::IMessageCodec &codec)
{
    request.headers = endToEndHeaders(request.headers, [&codec](std::string_view name) { return codec.isEndToEnd(name); });
    return request;
}

}

RequestSession::RequestSession(GatewayContext &context, StreamRegistry &streamRegistry, http::Request request, http::IResponseWriter &writer, bool fromPeer)
    : m_context(context)
    , m_streamRegistry(streamRegistry)
    , m_request(endToEndRequest(std::move(request), *context.ports.messageCodec))
    , m_writer(writer)
    , m_admission(context.admission)
    , m_fromPeer(fromPeer)
    , m_handledAt(hostNow())
    , m_arrivedAt(m_handledAt - m_context.loopDelay.estimate(m_handledAt))
    , m_deadline(m_arrivedAt + DefaultTimeout)
    , m_heldAnswer(context.heldBytes)
{
}

RequestSession::~RequestSession()
{
    noteAnswering();
}

net::awaitable<void> RequestSession::run()
{
    if (!routeAndAuthenticate() || !admit()) {
        co_await reject(m_rejectionStatus, m_reason, m_retryAfter);
        co_return;
    }
    if (m_writer.detectCallerGone()) {
        logOutcome("caller_gone", 0, "left_before_dispatch");
        co_return;
    }
    m_callerWatched = true;
    // The callback must not extend the life of the session; the connection destroys both when the request ends.
    m_writer.onCallerGone([weak = weak_from_this()] {
        const std::shared_ptr<RequestSession> self = weak.lock();
        if (self && self->m_exchange) {
            self->m_exchange->cancel();
        }
    });
    while (true) {
        const TimePoint now = hostNow();
        std::optional<balancing::Choice> choice = std::exchange(m_successor, std::nullopt);
        if (!choice) {
            const bool admitted = co_await admitByQuarantine();
            if (!admitted) {
                break;
            }
        }
        if (!choice && !endsBeforeStop(Duration::zero(), now)) {
            break;
        }
        DispatchResult result = DispatchResult::TryAnother;
        const gossip::Peer *const peer = choice ? nullptr : peerToForwardTo(now);
        if (peer != nullptr) {
            gossip::PeerStatus receiver = peer->status;
            result = co_await forwardToPeer(std::move(receiver));
        } else {
            if (!choice) {
                const bool prepared = co_await prepareDispatch();
                if (!prepared) {
                    co_return;
                }
                choice = chooseUpstream(hostNow());
            }
            if (!choice) {
                break;
            }
            const directory::UpstreamEntry upstream = m_context.directory.find(choice->instance)->entry;
            result = co_await dispatchTo(*choice, upstream);
        }
        while (m_continuation && result != DispatchResult::Done) {
            result = co_await dispatchContinuation();
        }
        if (result == DispatchResult::Done) {
            co_return;
        }
        if (m_writer.callerGone()) {
            logOutcome("caller_gone", 0, m_reason);
            co_return;
        }
        if (!mayRetry(hostNow())) {
            break;
        }
    }
    co_await respondWithFailure();
}

bool RequestSession::routeAndAuthenticate()
{
    m_routeTable = m_context.configuration.table();
    const std::optional<Duration> age = m_context.configuration.age(m_handledAt);
    if (!m_routeTable || !age) {
        m_rejectionStatus = 503;
        m_reason = "no_configuration";
        m_retryAfter = ConfigurationRetryDelay;
        return false;
    }
    if (std::optional<ports::CallerRequest> caller = m_context.ports.messageCodec->callerRequest(m_request, m_reason)) {
        m_callerRequest = std::move(*caller);
        m_writer.setRequestId(m_callerRequest.attemptId);
    } else {
        m_rejectionStatus = 400;
        return false;
    }
    if (m_context.configuration.outdated(m_handledAt, m_context.settings.maxConfigurationDelay)) {
        m_rejectionStatus = 503;
        m_reason = "stale_configuration";
        m_retryAfter = ConfigurationRetryDelay;
        return false;
    }
    noteEstimate();
    m_deadline = m_arrivedAt + m_callerRequest.timeLeft.value_or(DefaultTimeout);
    if (!admitByLoad()) {
        return false;
    }
    const bool configurationIsCurrent = *age < std::chrono::duration_cast<Duration>(m_context.settings.maxConfigurationDelay * CurrentConfigurationFactor);
    m_route = m_routeTable->route(m_request.headers.find("Host").value_or(""), http::path(m_request.target));
    if (m_route == nullptr) {
        m_rejectionStatus = configurationIsCurrent ? 404 : 503;
        m_reason = "no_route";
        m_retryAfter = configurationIsCurrent ? std::nullopt : std::optional<Duration>(ConfigurationRetryDelay);
        return false;
    }
    m_deadline = std::min(m_deadline, m_route->timeout.count() > 0 ? m_arrivedAt + m_route->timeout : m_deadline);
    const bool needsKey = m_route->needsKey && !m_routeTable->configuration().workspaces.empty();
    if (!needsKey) {
        return true;
    }
    if (*age > std::chrono::duration_cast<Duration>(m_context.settings.maxRevocationDelay * KeyTrustPart)) {
        m_rejectionStatus = 503;
        m_reason = "stale_configuration";
        m_retryAfter = ConfigurationRetryDelay;
        return false;
    }
    m_workspace = m_routeTable->workspaceOfKey(m_callerRequest.apiKey);
    if (m_workspace == nullptr) {
        m_rejectionStatus = configurationIsCurrent ? 401 : 503;
        m_reason = "unknown_key";
        m_retryAfter = configurationIsCurrent ? std::nullopt : std::optional<Duration>(ConfigurationRetryDelay);
        return false;
    }
    return true;
}

bool RequestSession::admit()
{
    if (m_context.stop.refusesRequests(m_handledAt)) {
        m_rejectionStatus = 503;
        m_reason = "stopping";
        m_retryAfter = Duration::zero();
        return false;
    }
    const routing::WeightedService *const service = routing::RouteTable::chooseService(*m_route, m_context.randomFraction());
    if (service == nullptr) {
        m_rejectionStatus = 503;
        m_reason = "route_without_service";
        m_retryAfter = ConfigurationRetryDelay;
        return false;
    }
    m_service = service->service;
    m_fingerprint = quarantine::requestFingerprint({m_workspace != nullptr ? std::string_view(m_workspace->name) : std::string_view(),
                                                    m_request.headers.find("Host").value_or(""),
                                                    m_request.method,
                                                    m_request.target,
                                                    m_request.body});
    m_attemptState.emplace(m_route->repeatable(), m_route->maxAttempts);
    return true;
}

net::awaitable<bool> RequestSession::admitByQuarantine()
{
    const bool recordsRead = co_await m_context.suspectRecorder->awaitRecords();
    if (!recordsRead) {
        m_reason = "suspects_unknown";
        m_retryAfter = ConfigurationRetryDelay;
        co_return false;
    }
    const quarantine::RequestTraits traits = requestTraits();
    if (const std::optional<quarantine::Rejection> rejection = m_context.quarantine.admit(traits, hostNow())) {
        noteQuarantined(*rejection);
        co_return false;
    }
    std::vector<quarantine::SuspectId> tried = m_context.quarantine.suspectsInQuarantine(traits);
    if (tried.empty()) {
        co_return true;
    }
    const quarantine::Rejection rejection{tried.front().kind, TrialRetryDelay};
    const bool recorded = co_await m_context.suspectRecorder->recordTrial(std::move(tried));
    if (!recorded) {
        noteQuarantined(rejection);
    }
    co_return recorded;
}

bool RequestSession::isQuarantined()
{
    const std::vector<quarantine::SuspectId> suspects = m_context.quarantine.suspectsInQuarantine(requestTraits());
    if (!suspects.empty()) {
        noteQuarantined({suspects.front().kind, TrialRetryDelay});
    }
    return !suspects.empty();
}

void RequestSession::noteQuarantined(const quarantine::Rejection &rejection)
{
    m_reason = rejection.kind == quarantine::SuspectKind::Request ? "request_quarantined" : "prompt_quarantined";
    m_retryAfter = rejection.wait;
}

net::awaitable<bool> RequestSession::prepareDispatch()
{
    if (!chargeQuota()) {
        co_await reject(m_rejectionStatus, m_reason, m_retryAfter);
        co_return false;
    }
    if (callerResumes() && !m_continuedVersion) {
        const bool mayBeContinued = co_await findStreamOrigin();
        if (!mayBeContinued) {
            co_await respondWithFailure();
            co_return false;
        }
    }
    co_return true;
}

bool RequestSession::mayRetry(TimePoint now)
{
    if (m_endedByStop || !m_attemptState->mayDispatch() || remainingTime(now) <= ResponseMargin) {
        return false;
    }
    if (m_attemptState->dispatches() == 0) {
        return true; // Nothing was sent yet, so this takes nothing from the retry budget.
    }
    if (!m_retryTaken && !m_context.retryBudget.take(m_service, now)) {
        m_reason += ", no retry budget";
        return false;
    }
    m_retryTaken = true;
    return true;
}

Duration RequestSession::remainingTime(TimePoint now) const
{
    return m_deadline - now;
}

ports::UpstreamPriority RequestSession::upstreamPriority() const
{
    constexpr std::uint32_t LowestPriority = 9;
    const std::uint32_t rank = m_workspace != nullptr ? m_workspace->priority.value_or(m_route->priority) : m_route->priority;
    return static_cast<ports::UpstreamPriority>(std::min(rank, LowestPriority));
}

net::awaitable<void> RequestSession::respondWithFailure()
{
    if (m_endedByStop) {
        noteEndedByStop();
    }
    if (m_streamStarted) {
        m_writer.abort();
        logOutcome("cut", 0, m_reason);
        co_return;
    }
    if (m_attemptState->mayRejectAsNotRun()) {
        refundQuota();
        co_await reject(503, m_reason, m_retryInVain ? std::nullopt : std::optional<Duration>(m_retryAfter.value_or(UpstreamRetryDelay)));
        co_return;
    }
    const bool timedOut = remainingTime(hostNow()) <= 2 * ResponseMargin;
    http::Response response;
    response.status = timedOut ? 504 : 502;
    response.headers.add("Content-Type", "application/json");
    response.body = R"({"error":{"message":"the request may have run, and its answer is missing","code":")" + std::string(timedOut ? "timeout" : "bad_gateway")
        + R"("}})";
    logOutcome("failed", response.status, m_reason);
    co_await respond(std::move(response));
}

net::awaitable<void> RequestSession::reject(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    logOutcome("refused", status, reason);
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    if (retryAfter) {
        const double jitter = m_retryNotEarlier ? m_context.randomFraction() : 2 * m_context.randomFraction() - 1;
        const double seconds = std::chrono::duration<double>(*retryAfter).count() * (1 + RetryJitter * jitter);
        response.headers.add("Retry-After", std::to_string(seconds));
    }
    // The text after the colon may name hosts, which callers must not learn.
    const std::string_view code = reason.substr(0, reason.find(':'));
    response.body = R"({"error":{"message":"not run","code":")" + std::string(code) + R"("}})";
    co_await respond(std::move(response));
}

net::awaitable<void> RequestSession::respond(http::Response response)
{
    if (m_attemptState) {
        m_attemptState->noteCompleted();
    }
    if (m_fromPeer) {
        response.headers.add(PeerAnswerHeader, "1");
    }
    co_await m_writer.respond(std::move(response));
}

}
