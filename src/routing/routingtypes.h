#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::routing {

/// Whether the requests of a route may be repeated.
enum class RequestKind : std::uint8_t {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once for each time that a caller sends it.
    Streaming,     ///< Answers with a stream of events; treated as NonIdempotent unless the route is resumable.
};

/// A service of a route, with its share of the route's requests in proportion to the weights.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

/// Selects requests by host and path prefix and defines how they are served.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    std::chrono::milliseconds timeout{0};     ///< Time allowed for the whole answer.
    std::chrono::milliseconds latencyGoal{0}; ///< Target for the time to the answer or its first event.
    std::chrono::milliseconds gapGoal{0};     ///< Target for the longest time between two events; 0 when there is none.
    std::uint32_t priority = 0;               ///< 0 is the highest priority.
    std::uint32_t maxAttempts = 1;            ///< Number of upstreams to which one request of a caller may be sent.
    bool needsKey = true;                     ///< Whether callers must present an API key.
    bool resumable = false;                   ///< Whether a streaming request may be repeated at another upstream.
    std::vector<WeightedService> services;

    /// Whether a request may be sent to another upstream even if it may already have run.
    [[nodiscard]] bool repeatable() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }
};

/// Properties of the inference engines of a service.
struct EngineSpec {
    std::uint32_t slots = 0;                     ///< Requests that an engine processes in one batch.
    std::uint64_t cacheTokens = 0;               ///< Capacity of an engine's KV cache, in tokens.
    std::uint32_t tokensPerEvent = 1;            ///< Tokens in one event of a stream.
    bool movesMemory = false;                    ///< The memory of a running request can be copied to another engine, where it goes on.
    std::uint64_t bytesPerToken = 0;             ///< Size of a token's memory.
    double linkBitsPerSecond = 0;                ///< What the link of an engine carries; 0 when not known.
    std::chrono::milliseconds handleLifetime{0}; ///< How long copied memory that is not used is kept.
};

/// Bounds on the autoscaling of a service. The replica counts apply to each availability zone.
struct ScalingSpec {
    std::uint32_t minReplicas = 0;
    std::uint32_t maxReplicas = 0;
    std::chrono::milliseconds startup{0};   ///< Time from ordering an upstream until it is ready.
    std::optional<double> reclaimablePrice; ///< Price of a reclaimable upstream as a fraction of a permanent upstream's; nothing when the platform offers none.
    std::map<std::string, double> zonePrices; ///< Price of one upstream per second, by availability zone.
};

/// A service that routes lead to, served by upstreams of one kind.
struct Service {
    std::string name;
    std::string healthPath;           ///< Path of the health check at each upstream.
    std::uint32_t maxConnections = 0; ///< Connections that one upstream accepts from all hosts together; 0 when not limited.
    std::optional<EngineSpec> engine;
    std::optional<ScalingSpec> scaling;
};

/// Unit of a workspace's quota.
enum class QuotaUnit : std::uint8_t {
    Requests,
    Tokens,
};

/// A tenant: a group of callers with common API keys and a quota.
struct Workspace {
    std::string name;
    std::vector<std::string> keys;         ///< API keys of the callers.
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.
    QuotaUnit unit = QuotaUnit::Requests;
    double perSecond = 0;                   ///< Quota per second; 0 means no limit.
    double burst = 0;                       ///< Capacity of the quota's token bucket, in the unit of the quota.
    std::uint64_t tokensOfPlainRequest = 1; ///< Tokens charged for a request that does not state its token count.
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/// One accepted version of the configuration that the operators publish. Versions only increase.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<std::shared_ptr<const Route>> routes; ///< None is null. Versions share the routes that they have in common.
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    CallerLimits limits;
};

}
