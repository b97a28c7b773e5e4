#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::requests {

/// Final answer to a request that has been given up or never taken.
struct Refusal {
    int status = 503;
    std::string code; ///< Stable; clients may branch on it.
    std::string message;
    RunState run = RunState::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter; ///< Set where coming back helps.
};

/// One streamed step of a model's answer.
struct ResponseChunk {
    std::string delta;   ///< The upstream's JSON "delta" object.
    std::string content; ///< Its text part.
    std::uint32_t tokens = 1;
};

/// Tokens of a whole answer as the upstream counted them, over all attempts.
struct Usage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Whole answer of a plain service.
struct ServiceAnswer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

enum class RequestKind : std::uint8_t {
    Chat,
    Service,
};

/// What a caller asked for; fixed once the request is accepted.
struct RequestSpec {
    RequestKind kind = RequestKind::Chat;
    std::string workspace;
    std::string target; ///< Name of the model or service.
    TrafficClass trafficClass = TrafficClass::Question;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool idempotent = true;
    std::chrono::milliseconds deadline{0};   ///< From arrival.
    std::chrono::milliseconds firstToken{0}; ///< Target for the first token, from arrival; zero when there is none.
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;                             ///< Requests with the same one begin alike; zero when not known.
    std::uint32_t maxTokens = 0;                              ///< Zero when the caller set no bound.
    bool includeUsage = false;                                ///< The streamed answer ends with its usage.
    std::string method;                                       ///< Of a service call.
    std::string path;                                         ///< Of a service call, with its query.
    std::vector<std::pair<std::string, std::string>> headers; ///< Of a service call, for the upstream.
    std::string body;
};

}
