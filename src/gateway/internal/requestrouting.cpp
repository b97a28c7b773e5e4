#include "gateway/internal/requestsession.h"
#include "limits/connectionshare.h"
#include "overload/yieldingadmission.h"

namespace rosemaryshift::gateway {

namespace {

/// Longest Retry-After for a caller whose request no upstream may take because of the limits that the upstreams state.
constexpr std::chrono::milliseconds LongestLimitRetryDelay{10'000};

/// Reason of a refusal for the sake of more urgent requests.
constexpr std::string_view YieldingReason = "yields";

/// Time in which upstreams that together accept @p perSecond requests per second accept one more.
Duration limitRetryDelay(double perSecond)
{
    const double seconds = 1 / std::max(perSecond, 1e-6);
    const Duration delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::min<Duration>(delay, LongestLimitRetryDelay);
}

}

balancing::RequestProfile RequestSession::requestProfile() const
{
    balancing::RequestProfile profile;
    profile.service = m_service;
    profile.zone = m_context.settings.zone;
    if (m_continuation) {
        return profile; // The prompt is not read again.
    }
    profile.promptParts = m_callerRequest.promptParts;
    profile.promptTokens = m_callerRequest.promptTokens.value_or(0);
    profile.pooledSpeeds = m_routeTable && m_routeTable->hasYieldingSingleAttempts(m_service);
    return profile;
}

quarantine::RequestTraits RequestSession::requestTraits() const
{
    return {m_service, m_fingerprint, m_callerRequest.sharedPromptParts()};
}

bool RequestSession::admitYielding(std::span<const balancing::Candidate> candidates)
{
    if (m_attemptState->dispatches() > 0 || !m_routeTable->yields(*m_route, m_service)) {
        return true;
    }
    const overload::YieldingDemand demand{m_context.balancer.averageWait(m_service, candidates), m_route->latencyGoal};
    const std::optional<Duration> retryDelay = overload::yieldingRetryDelay(demand, m_context.randomFraction());
    if (!retryDelay) {
        return true;
    }
    m_reason = YieldingReason;
    m_retryAfter = *retryDelay;
    m_context.metrics.count("rosemaryshift_yielding_refused_total", R"(service=")" + m_service + R"(")");
    return false;
}

rollouts::RequestTraits RequestSession::rolloutTraits() const
{
    rollouts::RequestTraits traits;
    traits.lostWithUpstream = m_route->kind == routing::RequestKind::Streaming && !m_route->repeatable();
    traits.othersUnreached = m_connectFailures > 0;
    if (m_continuedVersion) {
        traits.continuedVersion = *m_continuedVersion;
    }
    return traits;
}

std::optional<balancing::Choice> RequestSession::chooseUpstream(TimePoint now)
{
    const rollouts::VersionFilter versions = m_context.versionGate.filter(m_service, rolloutTraits(), true, now);
    std::optional<balancing::Choice> choice = chooseAmong(versions, now);
    if (!choice && versionWithoutRecord(now)) {
        // Upstreams of that version have no room: a stream that goes on unrecorded is better than none.
        m_recordWaived = true;
        choice = chooseAmong(versions, now);
    }
    if (choice && versions.exposes) {
        m_context.versionGate.find(m_service)->noteExposed();
    }
    const bool yields = !choice && m_reason == YieldingReason;
    if (!choice && versions.optional && !yields) {
        m_retryInVain = false;
        m_retryNotEarlier = false;
        choice = chooseAmong(m_context.versionGate.filter(m_service, rolloutTraits(), false, now), now);
    }
    return choice;
}

std::optional<balancing::Choice> RequestSession::chooseAmong(const rollouts::VersionFilter &versions, TimePoint now)
{
    if (m_streamStarted && (!m_continuedVersion || !m_eventSplitter.lastId())) {
        return std::nullopt; // No upstream can be told where, or by which version, the stream was broken off.
    }
    std::vector<balancing::Candidate> candidates;
    const std::optional<std::string> onlyVersion = versionWithoutRecord(now);
    const routing::Service *const service = m_routeTable->service(m_service);
    const std::uint32_t maxRequests = limits::connectionShare(service != nullptr ? service->maxConnections : 0, m_context.hostCount);
    std::optional<double> limitedRate;     ///< Sum of the limits of the upstreams that are left out because of them.
    std::optional<Duration> earliestPause; ///< Time until the first of the upstreams that pause may be sent requests again.
    for (const directory::Upstream *const upstream : m_context.directory.usable(m_service, now)) {
        const directory::UpstreamEntry &entry = upstream->entry;
        if (m_triedInstances.contains(entry.instance) || (m_continuedVersion && !mayBeContinuedBy(*upstream, *m_continuedVersion))) {
            continue;
        }
        if (!versions.admits(entry.softwareVersion, entry.instance) || (onlyVersion && entry.softwareVersion != *onlyVersion)) {
            continue;
        }
        if (const std::optional<Duration> pause = m_context.upstreamPauses.remaining(entry.instance, now)) {
            earliestPause = std::min(earliestPause.value_or(*pause), *pause);
        } else if (m_context.upstreamLimits.maySend(entry.instance, now)) {
            const bool zoneUnreachable = entry.zone != m_context.settings.zone && m_context.silentZones.contains(entry.zone);
            candidates.push_back({entry.instance, entry.zone, entry.slots, maxRequests, zoneUnreachable});
        } else {
            limitedRate = limitedRate.value_or(0) + m_context.upstreamLimits.perSecond(entry.instance).value_or(0);
        }
    }
    if (!admitYielding(candidates)) {
        return std::nullopt;
    }
    std::optional<balancing::Choice> choice = m_context.balancer.choose(requestProfile(), candidates, now);
    if (!choice) {
        m_retryAfter = UpstreamRetryDelay;
        if (!candidates.empty()) {
            m_reason = "upstreams_full";
        } else if (limitedRate) {
            m_reason = "upstreams_limited";
            m_retryAfter = std::max<Duration>(limitRetryDelay(*limitedRate), UpstreamRetryDelay);
        } else if (earliestPause) {
            m_reason = "upstreams_paused";
            m_retryAfter = *earliestPause;
            m_retryNotEarlier = true;
        } else if (m_continuedVersion && (streamVersionGone(now) || !versions.admits(*m_continuedVersion, {}))) {
            m_reason = "stream_version_gone";
            m_retryInVain = true;
        } else {
            m_reason = "no_upstream";
        }
        return std::nullopt;
    }
    if (m_attemptState->mayRejectAsNotRun() && choice->expected > remainingTime(now)) {
        m_reason = "overloaded";
        m_retryAfter = choice->expected - remainingTime(now);
        return std::nullopt;
    }
    if (!endsBeforeStop(choice->expected, now)) {
        return std::nullopt;
    }
    return choice;
}

}
