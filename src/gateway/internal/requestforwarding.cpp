#include "gateway/internal/endtoendheaders.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/peerheaders.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Number of upstreams that a request tries to connect to before it is forwarded to a peer.
constexpr int MaxConnectFailures = 2;
/// Number of peers that a request is sent to at most; a second one only when the first has not accepted it.
constexpr std::size_t MaxPeers = 2;
/// Timeout of connecting to a peer.
constexpr std::chrono::milliseconds PeerConnectTimeout{400};

}

void RequestSession::noteUnreached(const http::ClientFailure &failure)
{
    if (failure.error == http::ClientError::ConnectFailed) {
        ++m_connectFailures;
    } else if (failure.error != http::ClientError::TimedOut) {
        return;
    }
    m_context.upstreamReach.noteUnreached(m_service, m_instance, m_context.directory.usable(m_service, hostNow()).size());
}

const gossip::Peer *RequestSession::peerToForwardTo(TimePoint now)
{
    const bool unreached = !m_context.upstreamReach.reaches(m_service) || m_connectFailures >= MaxConnectFailures;
    // A request that may run, or may have run, through this host stays with it.
    if (m_fromPeer || !unreached || m_streamStarted || !m_attemptState->mayRejectAsNotRun() || m_triedPeers.size() >= MaxPeers
        || remainingTime(now) <= ResponseMargin) {
        return nullptr;
    }
    std::vector<const gossip::Peer *> peers = m_context.peers->peersReaching(m_service);
    std::erase_if(peers, [this](const gossip::Peer *peer) { return m_triedPeers.contains(peer->status.host); });
    if (peers.empty()) {
        return nullptr;
    }
    return peers[static_cast<std::size_t>(m_context.randomFraction() * static_cast<double>(peers.size()))];
}

net::awaitable<RequestSession::DispatchResult> RequestSession::forwardToPeer(gossip::PeerStatus peer)
{
    refundQuota(); // The peer that sends the request to an upstream charges it.
    const TimePoint now = hostNow();
    const std::chrono::milliseconds remaining = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime(now) - ResponseMargin);
    m_triedPeers.insert(peer.host);
    m_sent = false;
    m_viaPeer = true;
    m_instance = peer.host;
    m_balancerAttempt = 0;
    m_framing.reset();
    m_attemptState->noteDispatched();
    m_context.eventLog.write(
        "forwarded",
        eventlog::Importance::Ordinary,
        {{"request", m_callerRequest.attemptId}, {"service", m_service}, {"peer", peer.host}, {"left_ms", static_cast<std::int64_t>(remaining.count())}});

    const net::any_io_executor executor = co_await net::this_coro::executor;
    m_exchange = http::makeExchange(executor, m_context.peerConnections);
    http::ClientTimeouts timeouts;
    timeouts.connect = std::min(PeerConnectTimeout, remaining);
    timeouts.header = remaining;
    timeouts.body = remaining;
    timeouts.end = std::chrono::steady_clock::now() + remaining;
    http::ClientFailure failure;
    const http::Endpoint endpoint{peer.address, m_context.settings.peerListener.port};
    http::RequestSource source = [this, &peer] { return requestForPeer(peer.forwardingToken); };
    std::optional<http::Response> answer = co_await m_exchange->open(endpoint, std::move(source), timeouts, failure);
    if (failure.error == http::ClientError::Withdrawn) {
        noteWithdrawn();
        endDispatch(balancing::AttemptEnd::Inconclusive);
        co_return DispatchResult::TryAnother;
    }
    const bool notRun = answer ? declines(*answer) : !m_sent;
    if (notRun) {
        m_attemptState->noteNotSent();
        m_reason = answer ? "the peer did not accept the request" : "no connection to the peer: " + failure.detail;
        m_viaPeer = false;
        endDispatch(balancing::AttemptEnd::Failed);
        co_return DispatchResult::TryAnother;
    }
    if (!answer) {
        m_reason = "no_answer: " + failure.detail;
        co_await endForwarding();
        co_return DispatchResult::Done;
    }
    m_framing = answer->framing;
    answer->headers = withoutHeader(answer->headers, PeerAnswerHeader);
    co_await relayAnswer(std::move(*answer));
    co_return DispatchResult::Done;
}

net::awaitable<void> RequestSession::relayAnswer(http::Response answer)
{
    const bool success = answer.status >= 200 && answer.status < 300;
    if (m_route->kind == routing::RequestKind::Streaming && success) {
        const DispatchResult result = co_await forwardStream(std::move(answer));
        if (result != DispatchResult::Done) {
            co_await endForwarding();
        }
        co_return;
    }
    http::ClientFailure failure;
    std::optional<std::string> body = co_await readBody(failure);
    if (!body) {
        co_await endForwarding();
        co_return;
    }
    noteFirstByte(false);
    endDispatch(balancing::AttemptEnd::Inconclusive);
    logOutcome(success ? "answered" : "relayed", answer.status, {});
    http::Response response;
    response.status = answer.status;
    response.headers = endToEndHeaders(answer.headers);
    response.body = std::move(*body);
    co_await respond(std::move(response));
}

net::awaitable<void> RequestSession::endForwarding()
{
    m_exchange.reset();
    if (m_writer.callerGone()) {
        logOutcome("caller_gone", 0, m_reason);
        co_return;
    }
    co_await respondWithFailure();
}

}
