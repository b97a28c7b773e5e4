#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

net::awaitable<bool> RequestSession::leaveSilentUpstream()
{
    // Why no other upstream can take over is no reason for a rejection while this one may still answer.
    std::string reason = std::move(m_reason);
    const std::optional<Duration> retryAfter = m_retryAfter;
    const bool retryInVain = m_retryInVain;
    const bool retryNotEarlier = m_retryNotEarlier;
    m_reason.clear();
    const bool leaves = co_await findSuccessor();
    if (leaves || !m_silenceNoted) {
        noteSilence(leaves);
    }
    m_reason = std::move(reason);
    m_retryAfter = retryAfter;
    m_retryInVain = retryInVain;
    m_retryNotEarlier = retryNotEarlier;
    co_return leaves;
}

void RequestSession::noteSilence(bool leaves)
{
    m_silenceNoted = true;
    const std::string decision = leaves ? "left" : "kept";
    m_context.metrics.count("rosemaryshift_silent_upstreams_total", R"(decision=")" + decision + R"(")");
    m_context.eventLog.write("silent_upstream",
                             eventlog::Importance::Failure,
                             {{"request", m_callerRequest.attemptId},
                              {"instance", m_instance},
                              {"decision", decision},
                              {"reason", m_reason},
                              {"successor", m_successor ? std::string_view(m_successor->instance) : std::string_view()},
                              {"left_ms", wholeMilliseconds(remainingTime(hostNow()))}});
}

net::awaitable<bool> RequestSession::findSuccessor()
{
    std::set<std::string> connected;
    while (true) {
        const TimePoint now = hostNow();
        if (m_exchange->hasUnread()) {
            m_reason = "answer_goes_on";
            co_return false;
        }
        if (!m_attemptState->mayDispatch() || remainingTime(now) <= ResponseMargin) {
            m_reason = "no_further_attempt";
            co_return false;
        }
        if (!m_retryTaken && !m_context.retryBudget.allows(m_service, now)) {
            m_reason = "no_retry_budget";
            co_return false;
        }
        std::optional<balancing::Choice> choice = chooseUpstream(now);
        if (!choice) {
            m_reason = m_reason.empty() ? "no_event_id" : m_reason;
            co_return false;
        }
        if (connected.contains(choice->instance)) {
            // Nothing may wait between here and the sending, so that what was checked still holds.
            if (isQuarantined() || !mayRetry(now)) {
                co_return false;
            }
            m_successor = std::move(choice);
            co_return true;
        }
        const bool reached = co_await connectTo(*choice);
        (reached ? connected : m_triedInstances).insert(choice->instance);
    }
}

net::awaitable<bool> RequestSession::connectTo(const balancing::Choice &choice)
{
    const TimePoint now = hostNow();
    const http::Endpoint endpoint = m_context.directory.find(choice.instance)->entry.endpoint;
    const std::uint64_t attempt = m_context.balancer.begin(requestProfile(), choice, now);
    const net::any_io_executor executor = co_await net::this_coro::executor;
    const std::shared_ptr<http::IExchange> exchange = http::makeExchange(executor, m_context.upstreamConnections);
    http::ClientTimeouts timeouts;
    timeouts.connect = std::min(ConnectTimeout, atLeastOneMillisecond(remainingTime(now)));
    http::RequestSource noRequest = [] { return std::optional<http::Request>(); };
    http::ClientFailure failure;
    co_await exchange->open(endpoint, std::move(noRequest), timeouts, failure);
    const bool connected = failure.error == http::ClientError::Withdrawn;
    m_context.balancer.end(attempt, connected ? balancing::AttemptEnd::Inconclusive : balancing::AttemptEnd::Failed, hostNow());
    if (!connected) {
        m_context.runContinuity.noteConnectionsLost(choice.instance, hostNow());
        m_context.upstreamReach.noteUnreached(m_service, choice.instance, m_context.directory.usable(m_service, hostNow()).size());
    }
    co_return connected;
}

}
