#include "gateway/internal/requestrun.h"

#include "gateway/internal/endtoendheaders.h"
#include "gateway/internal/hostclock.h"
#include "limits/connectionshare.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// How long a caller waits that does not say so.
constexpr std::chrono::milliseconds DefaultTimeLeft{30'000};
/// Part of the revocation bound after which keys are no longer trusted; the rest covers the time between the check and the offer.
constexpr double TrustedPart = 0.95;
/// Age beyond which a configuration says nothing about routes and keys that it does not know, as a multiple of the bound on configurations.
constexpr double CertainMultiple = 1.5;
/// When a caller may come back to a host that knows no configuration, or none that is fresh.
constexpr std::chrono::milliseconds ConfigurationRetry{500};
/// When a caller may come back if no upstream is listed, or none took the request.
constexpr std::chrono::milliseconds UpstreamRetry{150};
/// A caller that is told to come back spreads its return by this part either way.
constexpr double RetrySpread = 0.5;

std::string_view nameOf(routing::RequestKind kind)
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

}

RequestRun::RequestRun(GatewayContext &context, http::Request request, http::IResponseWriter &writer)
    : m_context(context)
    , m_request(std::move(request))
    , m_writer(writer)
    , m_arrived(hostNow())
    , m_end(m_arrived + DefaultTimeLeft)
{
}

net::awaitable<void> RequestRun::run()
{
    if (!accept() || !admit()) {
        co_await refuse(m_refusalStatus, m_reason, m_retryAfter);
        co_return;
    }
    // The connection drops the callback with the request, which drops this run.
    m_writer.onCallerGone([weak = weak_from_this()] {
        const std::shared_ptr<RequestRun> self = weak.lock();
        if (self && self->m_exchange) {
            self->m_exchange->cancel();
        }
    });
    while (true) {
        const TimePoint now = hostNow();
        const std::optional<balancing::Choice> choice = choose(now);
        if (!choice) {
            break;
        }
        const directory::UpstreamEntry upstream = m_context.directory.find(choice->instance)->entry;
        const OfferEnd end = co_await offer(*choice, upstream);
        if (end == OfferEnd::Answered) {
            co_return;
        }
        if (m_writer.callerGone()) {
            logEnd("caller_gone", 0, m_reason);
            co_return;
        }
        if (!mayOfferAgain(hostNow())) {
            break;
        }
    }
    co_await finish();
}

bool RequestRun::accept()
{
    m_table = m_context.configuration.table();
    const std::optional<Duration> age = m_context.configuration.age(m_arrived);
    if (!m_table || !age) {
        m_refusalStatus = 503;
        m_reason = "no_configuration";
        m_retryAfter = ConfigurationRetry;
        return false;
    }
    if (std::optional<ports::CallerRequest> caller = m_context.ports.messageCodec->callerRequest(m_request, m_reason)) {
        m_caller = std::move(*caller);
    } else {
        m_refusalStatus = 400;
        return false;
    }
    m_end = m_arrived + m_caller.timeLeft.value_or(DefaultTimeLeft);
    const bool certain = *age < std::chrono::duration_cast<Duration>(m_context.settings.maxConfigurationDelay * CertainMultiple);
    m_route = m_table->route(m_request.headers.find("Host").value_or(""), http::path(m_request.target));
    if (m_route == nullptr) {
        m_refusalStatus = certain ? 404 : 503;
        m_reason = "no_route";
        m_retryAfter = certain ? std::nullopt : std::optional<Duration>(ConfigurationRetry);
        return false;
    }
    m_end = std::min(m_end, m_route->timeout.count() > 0 ? m_arrived + m_route->timeout : m_end);
    const bool keyed = m_route->needsKey && !m_table->configuration().workspaces.empty();
    if (!keyed) {
        return true;
    }
    if (*age > std::chrono::duration_cast<Duration>(m_context.settings.maxRevocationDelay * TrustedPart)) {
        m_refusalStatus = 503;
        m_reason = "stale_configuration";
        m_retryAfter = ConfigurationRetry;
        return false;
    }
    m_workspace = m_table->workspaceOfKey(m_caller.apiKey);
    if (m_workspace == nullptr) {
        m_refusalStatus = certain ? 401 : 503;
        m_reason = "unknown_key";
        m_retryAfter = certain ? std::nullopt : std::optional<Duration>(ConfigurationRetry);
        return false;
    }
    return true;
}

bool RequestRun::admit()
{
    if (m_context.rejectingRequests) {
        m_refusalStatus = 503;
        m_reason = "stopping";
        m_retryAfter = Duration::zero();
        return false;
    }
    const routing::WeightedService *const service = routing::RouteTable::chooseService(*m_route, m_context.randomFraction());
    if (service == nullptr) {
        m_refusalStatus = 503;
        m_reason = "route_without_service";
        m_retryAfter = ConfigurationRetry;
        return false;
    }
    m_service = service->service;
    if (m_workspace != nullptr) {
        const bool tokens = m_workspace->unit == routing::QuotaUnit::Tokens;
        const double stated = m_caller.promptTokens ? static_cast<double>(*m_caller.promptTokens + m_caller.maxOutputTokens)
                                                    : static_cast<double>(m_workspace->tokensOfPlainRequest);
        const double cost = tokens ? stated : 1;
        if (const std::optional<Duration> wait = m_context.quotas.take(m_workspace->name, cost, m_arrived)) {
            m_refusalStatus = 429;
            m_reason = "over_quota";
            m_retryAfter = *wait;
            return false;
        }
        m_cost = cost;
    }
    m_context.retryBudget.noteRequest(m_service, m_arrived);
    m_state.emplace(m_route->repeatable(), m_route->maxAttempts);
    return true;
}

balancing::Demand RequestRun::demand() const
{
    balancing::Demand demand;
    demand.service = m_service;
    demand.zone = m_context.settings.zone;
    demand.promptParts = m_caller.promptParts;
    demand.promptTokens = m_caller.promptTokens.value_or(0);
    return demand;
}

std::optional<balancing::Choice> RequestRun::choose(TimePoint now)
{
    std::vector<balancing::Candidate> candidates;
    const routing::Service *const service = m_table->service(m_service);
    const std::uint32_t most = limits::connectionShare(service != nullptr ? service->maxConnections : 0, m_context.hostCount);
    for (const directory::Upstream *const upstream : m_context.directory.usable(m_service, now)) {
        if (!m_tried.contains(upstream->entry.instance)) {
            const directory::UpstreamEntry &entry = upstream->entry;
            const bool cutOff = entry.zone != m_context.settings.zone && m_context.silentZones.contains(entry.zone);
            candidates.push_back({entry.instance, entry.zone, entry.slots, most, cutOff});
        }
    }
    std::optional<balancing::Choice> choice = m_context.balancer.choose(demand(), candidates, now);
    if (!choice) {
        m_reason = candidates.empty() ? "no_upstream" : "upstreams_full";
        m_retryAfter = UpstreamRetry;
        return std::nullopt;
    }
    if (m_state->mayRejectAsNotRun() && choice->expected > left(now)) {
        m_reason = "overloaded";
        m_retryAfter = choice->expected - left(now);
        return std::nullopt;
    }
    return choice;
}

bool RequestRun::mayOfferAgain(TimePoint now)
{
    if (!m_state->mayDispatch() || left(now) <= AnswerMargin) {
        return false;
    }
    if (m_state->dispatches() == 0) {
        return true; // Nothing was sent, so this is no second offer.
    }
    if (!m_context.retryBudget.take(m_service, now)) {
        m_reason += ", no retry budget";
        return false;
    }
    return true;
}

Duration RequestRun::left(TimePoint now) const
{
    return m_end - now;
}

ports::UpstreamPriority RequestRun::upstreamPriority() const
{
    constexpr std::uint32_t LowestPriority = 9;
    const std::uint32_t rank = m_workspace != nullptr ? m_workspace->priority.value_or(m_route->priority) : m_route->priority;
    return static_cast<ports::UpstreamPriority>(std::min(rank, LowestPriority));
}

net::awaitable<void> RequestRun::finish()
{
    if (m_streaming) {
        m_writer.abort();
        logEnd("cut", 0, m_reason);
        co_return;
    }
    if (m_state->mayRejectAsNotRun()) {
        if (m_cost > 0) {
            m_context.quotas.giveBack(m_workspace->name, m_cost);
        }
        co_await refuse(503, m_reason, m_retryAfter.value_or(UpstreamRetry));
        co_return;
    }
    const bool late = left(hostNow()) <= 2 * AnswerMargin;
    http::Response response;
    response.status = late ? 504 : 502;
    response.headers.add("Content-Type", "application/json");
    response.body
        = R"({"error":{"message":"the request may have run, and its answer is missing","code":")" + std::string(late ? "timeout" : "bad_gateway") + R"("}})";
    logEnd("failed", response.status, m_reason);
    co_await respond(std::move(response));
}

net::awaitable<void> RequestRun::refuse(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    logEnd("refused", status, reason);
    http::Response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    if (retryAfter) {
        const double seconds = std::chrono::duration<double>(*retryAfter).count() * (1 + RetrySpread * (2 * m_context.randomFraction() - 1));
        response.headers.add("Retry-After", std::to_string(seconds));
    }
    // What follows the colon may name hosts, which are no caller's business.
    const std::string_view code = reason.substr(0, reason.find(':'));
    response.body = R"({"error":{"message":"not run","code":")" + std::string(code) + R"("}})";
    co_await respond(std::move(response));
}

net::awaitable<void> RequestRun::respond(http::Response response)
{
    if (m_state) {
        m_state->noteCompleted();
    }
    co_await m_writer.respond(std::move(response));
}

void RequestRun::logEnd(std::string_view outcome, int status, std::string_view reason)
{
    const TimePoint now = hostNow();
    const std::string_view kind = m_route != nullptr ? nameOf(m_route->kind) : "unrouted";
    m_context.metrics.count("rosemaryshift_requests_total", R"(kind=")" + std::string(kind) + R"(",outcome=")" + std::string(outcome) + R"(")");
    if (m_firstAfter) {
        m_context.metrics.observe("rosemaryshift_first_byte_seconds", R"(kind=")" + std::string(kind) + R"(")", *m_firstAfter);
    }
    const bool good = outcome == "answered";
    m_context.eventLog.write("request_ended",
                             good ? eventlog::Importance::Ordinary : eventlog::Importance::Failure,
                             {{"request", m_caller.attemptId},
                              {"kind", kind},
                              {"route", m_route != nullptr ? std::string_view(m_route->name) : std::string_view()},
                              {"workspace", m_workspace != nullptr ? std::string_view(m_workspace->name) : std::string_view()},
                              {"configuration", static_cast<std::int64_t>(m_table ? m_table->configuration().version : 0)},
                              {"configuration_age_ms", wholeMilliseconds(m_context.configuration.age(now).value_or(Duration::zero()))},
                              {"outcome", outcome},
                              {"status", static_cast<std::int64_t>(status)},
                              {"reason", reason},
                              {"run", m_state ? name(m_state->executionState()) : std::string_view("not_offered")},
                              {"offers", static_cast<std::int64_t>(m_state ? m_state->dispatches() : 0)},
                              {"instance", m_instance},
                              {"first_ms", m_firstAfter ? wholeMilliseconds(*m_firstAfter) : std::int64_t{-1}},
                              {"retry_after_ms", outcome == "refused" && m_retryAfter ? wholeMilliseconds(*m_retryAfter) : std::int64_t{-1}},
                              {"took_ms", wholeMilliseconds(now - m_arrived)}});
}

}
