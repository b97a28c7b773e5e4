#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Shortest Retry-After for a caller that resumes a stream of which this host knows nothing; others tell of their streams in their next status.
constexpr std::chrono::milliseconds UnknownOriginRetryDelay{500};

}

bool RequestSession::callerResumes() const
{
    return m_route->kind == routing::RequestKind::Streaming && m_route->resumable && m_callerRequest.lastEventId.has_value();
}

streams::StreamKey RequestSession::streamKey(std::string_view attemptId) const
{
    return streams::streamKey(m_workspace != nullptr ? std::string_view(m_workspace->name) : std::string_view(), attemptId);
}

net::awaitable<bool> RequestSession::findStreamOrigin()
{
    std::set<std::string> services;
    for (const routing::WeightedService &service : m_route->services) {
        if (service.weight > 0) {
            services.insert(service.service);
        }
    }
    std::optional<streams::StreamKey> key;
    if (!m_callerRequest.resumedAttempt.empty()) {
        key = streamKey(m_callerRequest.resumedAttempt);
    }
    const std::optional<streams::Origin> origin = co_await m_streamRegistry.find(key, services);
    if (!origin) {
        m_reason = "stream_unknown";
        m_retryAfter = std::max(UnknownOriginRetryDelay, gossip::statusInterval(m_context.hostCount));
        co_return false;
    }
    if (!origin->certain() || !services.contains(origin->service)) {
        m_reason = origin->certain() ? "stream_service_gone" : "stream_version_uncertain";
        m_retryInVain = true;
        co_return false;
    }
    m_service = origin->service;
    m_continuedVersion = origin->softwareVersion;
    co_return true;
}

void RequestSession::noteStreamBegan()
{
    if (!m_route->resumable || m_viaPeer) {
        return;
    }
    const TimePoint now = hostNow();
    if (m_continuedVersion) {
        if (!m_callerRequest.resumedAttempt.empty()) {
            m_context.streamOrigins.renew(streamKey(m_callerRequest.resumedAttempt), now);
        }
        return;
    }
    const directory::Upstream *const listed = m_context.directory.find(m_instance);
    const bool restarted = listed != nullptr && (listed->entry.startTimeMs != m_upstream.startTimeMs || !mayBeContinuedBy(*listed, m_upstream.softwareVersion));
    if (!restarted) {
        m_continuedVersion = m_upstream.softwareVersion;
    }
    if (!m_callerRequest.attemptId.empty()) {
        m_context.streamOrigins.noteBegan(
            streamKey(m_callerRequest.attemptId), {m_service, restarted ? std::string() : m_upstream.softwareVersion}, m_instance, now);
    }
}

RequestSession::StreamFormat RequestSession::streamFormat(const http::Response &answer)
{
    return {answer.status, std::string(answer.headers.find("Content-Type").value_or("")), std::string(answer.headers.find("Content-Encoding").value_or(""))};
}

bool RequestSession::continuesStream(const http::Response &answer) const
{
    return streamFormat(answer) == m_streamFormat;
}

bool RequestSession::mayBeContinuedBy(const directory::Upstream &upstream, const std::string &softwareVersion) const
{
    if (upstream.entry.softwareVersion != softwareVersion) {
        return false;
    }
    // An upstream that has just restarted may run another version than the one listed, if the service has several, or may have by now.
    const bool listCurrent = m_context.listAvailability.reachableFor(hostNow()).has_value();
    return m_context.runContinuity.certain(upstream) || (listCurrent && m_context.softwareVersions.versions(m_service).size() == 1);
}

bool RequestSession::streamVersionGone(TimePoint now) const
{
    for (const directory::Upstream *const upstream : m_context.directory.usable(m_service, now)) {
        if (upstream->entry.softwareVersion == m_continuedVersion) {
            return false;
        }
    }
    return true;
}

}
