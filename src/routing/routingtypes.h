#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::routing {

/// What may be repeated of a route's requests.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each attempt of a caller.
    Streaming,     ///< Answers with events; as NonIdempotent unless the route is resumable.
};

/// Share of a route's requests that goes to one service.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{0};     ///< Longest time that a request may wait for its whole answer.
    std::chrono::milliseconds latencyGoal{0}; ///< Time to the answer, or to its first event, that the operator aims at.
    std::chrono::milliseconds gapGoal{0};     ///< Longest pause between two events that the operator aims at; 0 when not stated.
    std::uint32_t priority = 0;               ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1;            ///< Most upstreams that one attempt of a caller may be sent to.
    bool needsKey = true;
    bool resumable = false;
    std::vector<WeightedService> services;

    /// Whether a request that may have run may be sent to another upstream.
    [[nodiscard]] bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// What is stated about the engines of a service.
struct EngineSpec {
    std::uint32_t slots = 0;          ///< Requests that an engine batches at once.
    std::uint64_t cacheTokens = 0;    ///< Tokens that fit an engine's KV cache.
    std::uint32_t tokensPerEvent = 1; ///< Tokens that one event of a stream holds.
};

/// Bounds within which upstreams of a service may be ordered, for each availability zone.
struct ScalingSpec {
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 0;
    std::chrono::milliseconds startup{0};
    std::optional<double> reclaimablePrice;   ///< Price of a reclaimable upstream as a part of a permanent one's; nothing when there are none.
    std::map<std::string, double> zonePrices; ///< Price of a second of an upstream, by availability zone.
};

struct Service {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< Connections that one upstream takes from all hosts together; 0 when not stated.
    std::optional<EngineSpec> engine;
    std::optional<ScalingSpec> scaling;
};

/// Unit that a workspace's quota is counted in.
enum class QuotaUnit : std::uint8_t {
    Requests,
    Tokens,
};

struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over the route's.
    QuotaUnit unit = QuotaUnit::Requests;
    double perSecond = 0;                   ///< 0 means no limit.
    double burst = 0;                       ///< In the unit of the quota.
    std::uint64_t tokensOfPlainRequest = 1; ///< What a request without stated tokens counts as.
};

/// Bounds on what callers may send.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One accepted version of what the operators publish. Versions only grow.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    CallerLimits limits;
};

}
