#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Shortest Retry-After for a caller that resumes a stream of which this host knows nothing; others tell of their streams in their next status.
constexpr std::chrono::milliseconds UnknownOriginRetryDelay{500};

/// Time for which callers may resume the streams of a route without a timeout.
constexpr std::chrono::seconds UnboundedStreamLifetime{60};

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
    const Duration longestStream = m_route->timeout.count() > 0 ? Duration(m_route->timeout) : Duration(UnboundedStreamLifetime);
    const std::optional<streams::Origin> origin = co_await m_streamRegistry.find(key, services, longestStream);
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

net::awaitable<bool> RequestSession::beginStream()
{
    if (!m_route->resumable || m_viaPeer) {
        co_return true;
    }
    const TimePoint now = hostNow();
    if (m_continuedVersion) {
        if (!m_callerRequest.resumedAttempt.empty()) {
            m_context.streamOrigins.renew(streamKey(m_callerRequest.resumedAttempt), now);
        }
        co_return true;
    }
    const directory::Upstream *const listed = m_context.directory.find(m_instance);
    const bool restarted = listed != nullptr && (listed->entry.startTimeMs != m_upstream.startTimeMs || !mayBeContinuedBy(*listed, m_upstream.softwareVersion));
    const bool certain = !restarted && (listed == nullptr || m_context.runContinuity.certain(*listed));
    if (!m_callerRequest.attemptId.empty()) {
        const streams::StreamKey key = streamKey(m_callerRequest.attemptId);
        const streams::Origin origin{m_service, certain ? m_upstream.softwareVersion : std::string()};
        m_context.streamOrigins.noteBegan(key, origin, m_instance, now);
        bool recorded = !m_streamRegistry.needsRecord(origin);
        if (!recorded && m_streamRegistry.mayBeRecordedBehind(origin)) {
            if (m_streamRegistry.canRecord()) {
                const net::any_io_executor executor = co_await net::this_coro::executor;
                m_streamRegistry.recordBehind(key, executor);
            }
            recorded = true;
        }
        if (!recorded && m_streamRegistry.canRecord()) {
            recorded = co_await m_streamRegistry.record(key);
        }
        const bool ofDefaultVersion = m_context.softwareVersions.defaultVersion(m_service) == m_upstream.softwareVersion;
        if (!recorded && !m_recordWaived && !ofDefaultVersion && m_streamRegistry.rejectedByLogAlone() && defaultVersionServed(hostNow())) {
            m_reason = "stream_not_recorded";
            m_streamNotRecorded = true;
            co_return false;
        }
    }
    if (!restarted) {
        m_continuedVersion = m_upstream.softwareVersion;
    }
    co_return true;
}

std::optional<std::string> RequestSession::versionWithoutRecord(TimePoint now) const
{
    const bool begins = m_route->kind == routing::RequestKind::Streaming && m_route->resumable && !m_streamStarted && !m_continuedVersion;
    if (!begins || m_recordWaived || !(m_streamNotRecorded || m_streamRegistry.rejectedByLogAlone())) {
        return std::nullopt;
    }
    return defaultVersionServed(now) ? m_context.softwareVersions.defaultVersion(m_service) : std::nullopt;
}

bool RequestSession::defaultVersionServed(TimePoint now) const
{
    const std::optional<std::string> version = m_context.softwareVersions.defaultVersion(m_service);
    return version && std::ranges::any_of(m_context.directory.usable(m_service, now), [&version](const directory::Upstream *upstream) {
               return upstream->entry.softwareVersion == *version;
           });
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
