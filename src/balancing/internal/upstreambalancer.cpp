#include "balancing/upstreambalancer.h"

#include "balancing/internal/peerload.h"
#include "balancing/internal/upstreamrecords.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::balancing {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of a new sample in an exponential moving average.
constexpr double SampleWeight = 0.1;
/// Relative increase of the time to a first event for each request that runs at the upstream.
constexpr double BatchCostPerRequest = 0.02;
/// Number of running requests up to which a prompt is processed nearly as fast as at an idle upstream.
constexpr std::uint32_t NearlyIdleRunning = 6;
/// Consecutive failures after which an upstream is ejected for a time.
constexpr std::uint32_t FailuresBeforeEjection = 3;
/// Duration of an upstream's first ejection, doubled with each further failure, and its upper bound.
constexpr std::chrono::milliseconds FirstEjection{500};
constexpr std::chrono::milliseconds LongestEjection{4'000};
/// Added to the expected time of an ejected upstream, in milliseconds. A penalty, so that one is still chosen when all are ejected.
constexpr double EjectionPenalty = 100'000;
/// Added to the expected time of an upstream that always fails, in milliseconds; in proportion to the failure rate otherwise.
constexpr double FailurePenalty = 3'000;
/// Added to the expected time of an upstream whose zone may be unreachable, in milliseconds; it is still chosen when the others are overloaded.
constexpr double UnreachableZonePenalty = 300;
/// Added for a non-engine service's upstream in another zone, in milliseconds: a network partition between zones loses the requests that cross it.
constexpr double OtherZonePenalty = 5;
/// Weight of the delay that processing uncached tokens causes for later requests, relative to the request's own wait.
constexpr double QueueDelayWeight = 1;
/// Failure rate above the service's mean that is attributed to chance.
constexpr double FailureTolerance = 0.1;
/// Window over which the rate of prompt tokens of a service is measured.
constexpr std::chrono::seconds RateWindow{4};

double milliseconds(Duration duration)
{
    return Milliseconds(duration).count();
}

Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(Milliseconds(value));
}

void updateAverage(double &value, double sample)
{
    value += SampleWeight * (sample - value);
}

}

struct UpstreamBalancer::Scored {
    double expected = 0; ///< Estimated time to the first event, in milliseconds.
    double ranking = 0;  ///< Expected time with all penalties, in milliseconds; the lowest is chosen.
    std::uint64_t uncached = 0;
};

UpstreamBalancer::UpstreamBalancer(std::uint64_t seed)
    : m_peerLoad(std::make_unique<PeerLoad>())
    , m_random(seed)
{
}

UpstreamBalancer::~UpstreamBalancer() = default;

void UpstreamBalancer::setReportInterval(Duration interval)
{
    m_reportInterval = interval;
}

std::optional<Choice> UpstreamBalancer::choose(const RequestProfile &profile, std::span<const Candidate> candidates, TimePoint now)
{
    static const Service Unseen;
    m_peerLoad->expire(now);
    const auto foundService = m_services.find(profile.service);
    const Service &service = foundService == m_services.end() ? Unseen : foundService->second;
    const std::optional<std::uint64_t> shared = sharedPart(profile.promptParts);
    const std::string_view home = shared ? rendezvousHome(*shared, candidates) : std::string_view();
    std::optional<Choice> best;
    double bestRanking = 0;
    double secondRanking = 0;
    for (const Candidate *const considered : compared(candidates, home, now)) {
        const Candidate &candidate = *considered;
        const Upstream *const upstream = find(candidate.instance);
        if (candidate.maxConcurrentRequests > 0 && upstream != nullptr && upstream->own.running >= candidate.maxConcurrentRequests) {
            continue;
        }
        const Scored scored = score(profile, service, candidate, upstream, home, now);
        if (!best || scored.ranking < bestRanking) {
            const std::string before = best ? best->instance : std::string();
            const Duration beforeExpected = best ? best->expected : Duration(0);
            secondRanking = bestRanking;
            bestRanking = scored.ranking;
            best = Choice{std::string(candidate.instance), fromMilliseconds(scored.expected), scored.uncached, before, beforeExpected};
        } else if (best->runnerUp.empty() || scored.ranking < secondRanking) {
            secondRanking = scored.ranking;
            best->runnerUp = candidate.instance;
            best->runnerUpExpected = fromMilliseconds(scored.expected);
        }
    }
    return best;
}

Duration UpstreamBalancer::averageWait(std::string_view service, std::span<const Candidate> candidates) const
{
    std::uint64_t tokens = 0;
    for (const Candidate &candidate : candidates) {
        tokens += total(std::string(candidate.instance), find(candidate.instance)).prefillTokens;
    }
    const double average = candidates.empty() ? 0 : static_cast<double>(tokens) / static_cast<double>(candidates.size());
    return fromMilliseconds(prefillCost(std::string(service)) * average / 1000);
}

UpstreamBalancer::Scored UpstreamBalancer::score(
    const RequestProfile &profile, const Service &service, const Candidate &candidate, const Upstream *upstream, std::string_view home, TimePoint now) const
{
    const Outstanding load = total(std::string(candidate.instance), upstream);
    const double base = upstream != nullptr ? upstream->base.value_or(service.base) : service.base;
    const std::uint32_t slots = std::max(1U, candidate.slots);
    const double waiting = load.running >= slots ? (load.running - slots + 1.0) / slots : 0;

    Scored scored;
    double queueDelay = 0;
    if (profile.promptTokens > 0) {
        const double cost = (upstream != nullptr ? upstream->prefillCost.value_or(service.prefillCost) : service.prefillCost) / 1000;
        scored.uncached = profile.promptTokens;
        if (candidate.instance == home) {
            std::uint64_t sharedTokens = 0;
            for (const ports::PromptPart &part : profile.promptParts.first(profile.promptParts.size() - 1)) {
                sharedTokens += part.tokens;
            }
            scored.uncached -= std::min(sharedTokens, scored.uncached);
        }
        if (upstream != nullptr) {
            const std::uint64_t cached = upstream->cache.cachedTokens(profile.promptParts, now);
            scored.uncached = std::min(scored.uncached, profile.promptTokens - std::min(cached, profile.promptTokens));
        }
        queueDelay = QueueDelayWeight * cost * static_cast<double>(scored.uncached);
        scored.expected = (base + cost * static_cast<double>(load.prefillTokens + scored.uncached)) * (1 + BatchCostPerRequest * load.running);
        scored.expected += waiting * milliseconds(std::chrono::seconds(1));
    } else {
        scored.expected = base * (1 + waiting + static_cast<double>(load.running) / (4.0 * slots));
    }
    const bool elsewhere = profile.promptTokens == 0 && !profile.zone.empty() && candidate.zone != profile.zone;
    scored.ranking = scored.expected + queueDelay + failurePenalty(upstream, service, now) + (candidate.zoneUnreachable ? UnreachableZonePenalty : 0)
        + (elsewhere ? OtherZonePenalty : 0);
    return scored;
}

double UpstreamBalancer::failurePenalty(const Upstream *upstream, const Service &service, TimePoint now) const
{
    if (upstream == nullptr) {
        return 0;
    }
    const double excess = upstream->failureRate - service.failureRate - FailureTolerance;
    const double penalty = excess > 0 ? excess * FailurePenalty : 0;
    return upstream->ejectedUntil && now < *upstream->ejectedUntil ? penalty + EjectionPenalty : penalty;
}

Outstanding UpstreamBalancer::total(const std::string &instance, const Upstream *upstream) const
{
    Outstanding sum = m_peerLoad->at(instance);
    if (upstream != nullptr) {
        sum.running += upstream->own.running;
        sum.prefillTokens += upstream->own.prefillTokens;
    }
    return sum;
}

std::uint64_t UpstreamBalancer::begin(const RequestProfile &profile, const Choice &choice, TimePoint now)
{
    Attempt attempt;
    attempt.service = profile.service;
    attempt.instance = choice.instance;
    attempt.began = now;
    attempt.engine = profile.promptTokens > 0;
    m_peerLoad->expire(now);
    Service &service = m_services[attempt.service];
    Upstream &upstream = m_upstreams[choice.instance];
    const Outstanding ahead = total(choice.instance, &upstream);
    attempt.aheadTokens = ahead.prefillTokens;
    attempt.nearlyIdle = ahead.prefillTokens == 0 && ahead.running <= NearlyIdleRunning;
    ++upstream.own.running;
    if (attempt.engine) {
        attempt.prefillTokens = choice.uncachedTokens;
        upstream.own.prefillTokens += choice.uncachedTokens;
        upstream.cache.note(profile.promptParts, now);
        service.prefills.emplace_back(now, choice.uncachedTokens);
        while (!service.prefills.empty() && now - service.prefills.front().first > RateWindow) {
            service.prefills.pop_front();
        }
    }
    const std::uint64_t number = m_nextAttempt++;
    m_attempts.emplace(number, std::move(attempt));
    return number;
}

void UpstreamBalancer::recordFirstEvent(std::uint64_t number, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end() || found->second.firstEvent) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.firstEvent = true;
    m_upstreams[attempt.instance].own.prefillTokens -= attempt.prefillTokens;
    updateEstimates(attempt, now);
}

void UpstreamBalancer::updateEstimates(Attempt &attempt, TimePoint now)
{
    Upstream &upstream = m_upstreams[attempt.instance];
    Service &service = m_services[attempt.service];
    const double took = milliseconds(now - attempt.began);
    if (!attempt.engine) {
        upstream.base = upstream.base.value_or(service.base);
        updateAverage(*upstream.base, took);
        updateAverage(service.base, took);
        return;
    }
    // For a small prompt the base latency dominates the sample, for a large one the prefill cost, so each sample updates only one of them.
    const double thousands = static_cast<double>(attempt.prefillTokens + attempt.aheadTokens) / 1000;
    const double cost = upstream.prefillCost.value_or(service.prefillCost);
    const double base = upstream.base.value_or(service.base);
    if (thousands * cost < base) {
        const double sample = std::max(1.0, took - thousands * cost);
        upstream.base = base;
        updateAverage(*upstream.base, sample);
        updateAverage(service.base, sample);
        return;
    }
    const double sample = std::max(0.0, took - base) / thousands;
    upstream.prefillCost = cost;
    updateAverage(*upstream.prefillCost, sample);
    updateAverage(service.prefillCost, sample);
    if (attempt.nearlyIdle) {
        updateAverage(service.unloadedCost, sample);
    }
}

void UpstreamBalancer::end(std::uint64_t number, AttemptEnd result, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    Upstream &upstream = m_upstreams[attempt.instance];
    --upstream.own.running;
    if (!attempt.firstEvent) {
        upstream.own.prefillTokens -= attempt.prefillTokens;
    }
    if (result == AttemptEnd::Inconclusive) {
        return;
    }
    const bool good = result == AttemptEnd::Succeeded;
    updateAverage(upstream.failureRate, good ? 0 : 1);
    updateAverage(m_services[attempt.service].failureRate, good ? 0 : 1);
    upstream.consecutiveFailures = good ? 0 : upstream.consecutiveFailures + 1;
    if (good) {
        upstream.ejectedUntil.reset();
    } else if (upstream.consecutiveFailures >= FailuresBeforeEjection) {
        const std::uint32_t doublings = std::min(upstream.consecutiveFailures - FailuresBeforeEjection, 3U);
        upstream.ejectedUntil = now + std::min(FirstEjection * (1U << doublings), LongestEjection);
    }
}

std::map<std::string, Outstanding> UpstreamBalancer::outstanding() const
{
    std::map<std::string, Outstanding> all;
    for (const auto &[instance, upstream] : m_upstreams) {
        if (upstream.own.running > 0) {
            all.emplace(instance, upstream.own);
        }
    }
    return all;
}

void UpstreamBalancer::setPeerOutstanding(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now, Duration lifetime)
{
    m_peerLoad->set(host, std::move(outstanding), now, lifetime);
}

void UpstreamBalancer::forgetPeer(const std::string &host)
{
    m_peerLoad->forget(host);
}

void UpstreamBalancer::forgetUpstream(const std::string &instance)
{
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end() && found->second.own.running == 0) {
        m_upstreams.erase(found);
    }
}

double UpstreamBalancer::prefillRate(const std::string &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 0;
    }
    std::uint64_t tokens = 0;
    for (const auto &[time, uncached] : found->second.prefills) {
        tokens += now - time <= RateWindow ? uncached : 0;
    }
    return static_cast<double>(tokens) / std::chrono::duration<double>(RateWindow).count();
}

double UpstreamBalancer::prefillCost(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? InitialPrefillCost : found->second.unloadedCost;
}

}
