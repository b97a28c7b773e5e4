#pragma once

#include "balancing/internal/cachehistory.h"
#include "balancing/internal/latencymodel.h"
#include "balancing/upstreambalancer.h"

namespace rosemaryshift::balancing {

/// Initial estimate of the time to process a thousand prompt tokens, in milliseconds.
constexpr double InitialPrefillCost = 15;
/// Initial estimate of the base latency, in milliseconds: time to the first event without prompt processing, or to a non-engine service's answer.
constexpr double InitialBase = 50;

struct UpstreamBalancer::Upstream {
    Outstanding own;
    std::optional<double> prefillCost; ///< Milliseconds for a thousand prompt tokens; nothing before any was measured.
    std::optional<double> base;        ///< Base latency in milliseconds, see InitialBase; nothing before any was measured.
    double failureRate = 0;            ///< Moving average, 0 to 1.
    std::uint32_t consecutiveFailures = 0;
    std::optional<TimePoint> ejectedUntil;
    CacheHistory cache;
};

struct UpstreamBalancer::Service {
    double prefillCost = InitialPrefillCost;
    double unloadedCost = InitialPrefillCost; ///< As prefillCost, but only from requests to nearly idle upstreams.
    double base = InitialBase;
    double failureRate = 0;
    std::deque<std::pair<TimePoint, std::uint64_t>> prefills; ///< Time and uncached prompt tokens of each request sent within the last RateWindow.
};

struct UpstreamBalancer::Attempt {
    std::string service;
    std::string instance;
    TimePoint began;
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens of this request.
    std::uint64_t aheadTokens = 0;   ///< Uncached prompt tokens that the upstream had to process before it.
    bool engine = false;             ///< Whether the upstream is an engine.
    bool nearlyIdle = false;         ///< Whether the upstream was nearly idle when the attempt began.
    bool firstEvent = false;         ///< Whether the first event was received.
    bool pooled = false;             ///< Whether its times are samples of a pooled speed.
    bool queued = false;             ///< See Choice::queued.
    PrefillWork work;                ///< What its first event depends on; set when pooled.
    TimePoint firstEventAt;          ///< Set when firstEvent.
};

struct UpstreamBalancer::Scored {
    double expected = 0; ///< Estimated time to the first event, in milliseconds.
    double ranking = 0;  ///< Expected time with all penalties, in milliseconds; the lowest is chosen.
    std::uint64_t uncached = 0;
    bool queued = false; ///< See Choice::queued.
    double speed = 0;    ///< Of the upstream, see UpstreamSpeeds; 0 when speeds are not pooled.
};

}
