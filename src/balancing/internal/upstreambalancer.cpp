#include "balancing/upstreambalancer.h"

#include "balancing/internal/cachehistory.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::balancing {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of a new observation in a moving average.
constexpr double LearningRate = 0.1;
/// Cost of a thousand prompt tokens before any was seen, in milliseconds; the first answers correct it.
constexpr double InitialPrefillCost = 15;
/// Time to a first event without anything to read, or to a plain answer, before any was seen, in milliseconds.
constexpr double InitialBase = 50;
/// What a peer said of its load counts for this long; afterwards the peer is gone, or its news is worth nothing.
constexpr std::chrono::milliseconds PeerNewsLifetime{2'000};
/// What one more request in a batch adds to the time of each, as a part of the time to a first event.
constexpr double BatchCostPerRequest = 0.02;
/// A prompt that meets no more running requests than this is read nearly as fast as alone.
constexpr std::uint32_t FewRunning = 6;
/// Failures in a row after which an upstream rests.
constexpr std::uint32_t FailuresBeforeRest = 3;
/// First rest of an upstream, doubled with each failure after it, and its bound.
constexpr std::chrono::milliseconds FirstRest{500};
constexpr std::chrono::milliseconds LongestRest{4'000};
/// Added to the expected time of an upstream that rests, in milliseconds: it is chosen when all rest.
constexpr double RestPenalty = 100'000;
/// Added to the expected time of an upstream that fails always, in milliseconds; in proportion when it fails at times.
constexpr double FailurePenalty = 3'000;
/// Added to the expected time of an upstream whose zone may be cut off, in milliseconds: it is chosen when the others are far behind.
constexpr double CutOffPenalty = 300;
/// Added to the expected time of a plain service's upstream in another zone, in milliseconds: what crosses zones is lost when they are cut.
constexpr double OtherZonePenalty = 5;
/// Weight of the work that reading a prompt anew makes for the requests behind it, beside its own wait.
constexpr double RereadWeight = 1;
/// Part of failures above the service's mean that is taken for chance.
constexpr double FailureTolerance = 0.1;
/// Prompt tokens are counted over this time for the rate of a service.
constexpr std::chrono::seconds RateWindow{4};

double milliseconds(Duration duration)
{
    return Milliseconds(duration).count();
}

Duration fromMilliseconds(double value)
{
    return std::chrono::duration_cast<Duration>(Milliseconds(value));
}

void average(double &value, double sample)
{
    value += LearningRate * (sample - value);
}

}

struct UpstreamBalancer::Upstream {
    Outstanding own;
    std::optional<double> prefillCost; ///< Milliseconds for a thousand prompt tokens.
    std::optional<double> base;        ///< Milliseconds to a first event beside reading the prompt, or to a plain answer.
    double failures = 0;               ///< Moving average, 0 to 1.
    std::uint32_t failuresInRow = 0;
    std::optional<TimePoint> restsUntil;
    CacheHistory cache;
};

struct UpstreamBalancer::Service {
    double prefillCost = InitialPrefillCost;
    double unloadedCost = InitialPrefillCost; ///< As prefillCost, from prompts that met no others.
    double base = InitialBase;
    double failures = 0;
    std::deque<std::pair<TimePoint, std::uint64_t>> reads; ///< When how many prompt tokens were asked to be read.
};

struct UpstreamBalancer::Attempt {
    std::string service;
    std::string instance;
    TimePoint began;
    std::uint64_t prefillTokens = 0; ///< Of this request.
    std::uint64_t aheadTokens = 0;   ///< Of those before it.
    bool engine = false;
    bool alone = false; ///< Few others were under way at the upstream when it began.
    bool first = false;
};

struct UpstreamBalancer::Peer {
    std::map<std::string, Outstanding> outstanding;
    TimePoint heard;
};

struct UpstreamBalancer::Scored {
    double expected = 0;
    double ranking = 0;
    std::uint64_t uncached = 0;
};

UpstreamBalancer::UpstreamBalancer() = default;
UpstreamBalancer::~UpstreamBalancer() = default;

std::optional<Choice> UpstreamBalancer::choose(const RequestProfile &demand, std::span<const Candidate> candidates, TimePoint now) const
{
    const std::optional<std::uint64_t> shared = sharedPart(demand.promptParts);
    const std::string_view home = shared ? rendezvousHome(*shared, candidates) : std::string_view();
    std::optional<Choice> best;
    double bestRanking = 0;
    double secondRanking = 0;
    for (const Candidate &candidate : candidates) {
        const auto known = m_upstreams.find(std::string(candidate.instance));
        const Upstream *const upstream = known == m_upstreams.end() ? nullptr : &known->second;
        if (candidate.maxConcurrentRequests > 0 && upstream != nullptr && upstream->own.running >= candidate.maxConcurrentRequests) {
            continue;
        }
        const Scored scored = score(demand, candidate, upstream, home, now);
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

UpstreamBalancer::Scored
UpstreamBalancer::score(const RequestProfile &demand, const Candidate &candidate, const Upstream *upstream, std::string_view home, TimePoint now) const
{
    static const Service Unseen;
    const std::string instance(candidate.instance);
    const auto foundService = m_services.find(demand.service);
    const Service &service = foundService == m_services.end() ? Unseen : foundService->second;
    const Outstanding load = total(instance, now);
    const double base = upstream != nullptr ? upstream->base.value_or(service.base) : service.base;
    const std::uint32_t slots = std::max(1U, candidate.slots);
    const double waiting = load.running >= slots ? (load.running - slots + 1.0) / slots : 0;

    Scored scored;
    double reread = 0;
    if (demand.promptTokens > 0) {
        const double cost = (upstream != nullptr ? upstream->prefillCost.value_or(service.prefillCost) : service.prefillCost) / 1000;
        scored.uncached = demand.promptTokens;
        if (candidate.instance == home) {
            std::uint64_t sharedTokens = 0;
            for (const ports::PromptPart &part : demand.promptParts.first(demand.promptParts.size() - 1)) {
                sharedTokens += part.tokens;
            }
            scored.uncached -= std::min(sharedTokens, scored.uncached);
        }
        if (upstream != nullptr) {
            const std::uint64_t cached = upstream->cache.cachedTokens(demand.promptParts, now);
            scored.uncached = std::min(scored.uncached, demand.promptTokens - std::min(cached, demand.promptTokens));
        }
        reread = RereadWeight * cost * static_cast<double>(scored.uncached);
        scored.expected = (base + cost * static_cast<double>(load.prefillTokens + scored.uncached)) * (1 + BatchCostPerRequest * load.running);
        scored.expected += waiting * milliseconds(std::chrono::seconds(1));
    } else {
        scored.expected = base * (1 + waiting + static_cast<double>(load.running) / (4.0 * slots));
    }
    const bool elsewhere = demand.promptTokens == 0 && !demand.zone.empty() && candidate.zone != demand.zone;
    scored.ranking = scored.expected + reread + failurePenalty(upstream, service, now) + (candidate.zoneUnreachable ? CutOffPenalty : 0)
        + (elsewhere ? OtherZonePenalty : 0);
    return scored;
}

double UpstreamBalancer::failurePenalty(const Upstream *upstream, const Service &service, TimePoint now) const
{
    if (upstream == nullptr) {
        return 0;
    }
    const double excess = upstream->failures - service.failures - FailureTolerance;
    const double penalty = excess > 0 ? excess * FailurePenalty : 0;
    return upstream->restsUntil && now < *upstream->restsUntil ? penalty + RestPenalty : penalty;
}

Outstanding UpstreamBalancer::total(const std::string &instance, TimePoint now) const
{
    Outstanding sum;
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end()) {
        sum = found->second.own;
    }
    for (const auto &[host, peer] : m_peers) {
        const auto there = peer.outstanding.find(instance);
        if (there != peer.outstanding.end() && now - peer.heard < PeerNewsLifetime) {
            sum.running += there->second.running;
            sum.prefillTokens += there->second.prefillTokens;
        }
    }
    return sum;
}

std::uint64_t UpstreamBalancer::begin(const RequestProfile &demand, const Choice &choice, TimePoint now)
{
    Attempt attempt;
    attempt.service = demand.service;
    attempt.instance = choice.instance;
    attempt.began = now;
    attempt.engine = demand.promptTokens > 0;
    const Outstanding ahead = total(choice.instance, now);
    attempt.aheadTokens = ahead.prefillTokens;
    attempt.alone = ahead.prefillTokens == 0 && ahead.running <= FewRunning;
    Service &service = m_services[attempt.service];
    Upstream &upstream = m_upstreams[choice.instance];
    ++upstream.own.running;
    if (attempt.engine) {
        attempt.prefillTokens = choice.uncachedTokens;
        upstream.own.prefillTokens += choice.uncachedTokens;
        upstream.cache.note(demand.promptParts, now);
        service.reads.emplace_back(now, choice.uncachedTokens);
        while (!service.reads.empty() && now - service.reads.front().first > RateWindow) {
            service.reads.pop_front();
        }
    }
    const std::uint64_t number = m_nextAttempt++;
    m_attempts.emplace(number, std::move(attempt));
    return number;
}

void UpstreamBalancer::recordFirstEvent(std::uint64_t number, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end() || found->second.first) {
        return;
    }
    Attempt &attempt = found->second;
    attempt.first = true;
    m_upstreams[attempt.instance].own.prefillTokens -= attempt.prefillTokens;
    learn(attempt, now);
}

void UpstreamBalancer::learn(Attempt &attempt, TimePoint now)
{
    Upstream &upstream = m_upstreams[attempt.instance];
    Service &service = m_services[attempt.service];
    const double took = milliseconds(now - attempt.began);
    if (!attempt.engine) {
        upstream.base = upstream.base.value_or(service.base);
        average(*upstream.base, took);
        average(service.base, took);
        return;
    }
    // A small prompt tells of the base, a large one of the cost of reading.
    const double thousands = static_cast<double>(attempt.prefillTokens + attempt.aheadTokens) / 1000;
    const double cost = upstream.prefillCost.value_or(service.prefillCost);
    const double base = upstream.base.value_or(service.base);
    if (thousands * cost < base) {
        const double sample = std::max(1.0, took - thousands * cost);
        upstream.base = base;
        average(*upstream.base, sample);
        average(service.base, sample);
        return;
    }
    const double sample = std::max(0.0, took - base) / thousands;
    upstream.prefillCost = cost;
    average(*upstream.prefillCost, sample);
    average(service.prefillCost, sample);
    if (attempt.alone) {
        average(service.unloadedCost, sample);
    }
}

void UpstreamBalancer::end(std::uint64_t number, AttemptEnd how, TimePoint now)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    Upstream &upstream = m_upstreams[attempt.instance];
    --upstream.own.running;
    if (!attempt.first) {
        upstream.own.prefillTokens -= attempt.prefillTokens;
    }
    if (how == AttemptEnd::Inconclusive) {
        return;
    }
    const bool good = how == AttemptEnd::Succeeded;
    average(upstream.failures, good ? 0 : 1);
    average(m_services[attempt.service].failures, good ? 0 : 1);
    upstream.failuresInRow = good ? 0 : upstream.failuresInRow + 1;
    if (good) {
        upstream.restsUntil.reset();
    } else if (upstream.failuresInRow >= FailuresBeforeRest) {
        const std::uint32_t doublings = std::min(upstream.failuresInRow - FailuresBeforeRest, 3U);
        upstream.restsUntil = now + std::min(FirstRest * (1U << doublings), LongestRest);
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

void UpstreamBalancer::setPeerOutstanding(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now)
{
    m_peers[host] = Peer{std::move(outstanding), now};
}

void UpstreamBalancer::forgetPeer(const std::string &host)
{
    m_peers.erase(host);
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
    for (const auto &[time, read] : found->second.reads) {
        tokens += now - time <= RateWindow ? read : 0;
    }
    return static_cast<double>(tokens) / std::chrono::duration<double>(RateWindow).count();
}

double UpstreamBalancer::prefillCost(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? InitialPrefillCost : found->second.unloadedCost;
}

}
