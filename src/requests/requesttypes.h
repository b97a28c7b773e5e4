#pragma once

#include "base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::requests {

/// Final answer to a request that was refused or could not be completed.
struct Refusal {
    int status = 503;
    std::string code; ///< Error code; stable, so that clients may branch on it.
    std::string message;
    RunState run = RunState::NotRun;
    std::optional<std::chrono::milliseconds> retryAfter; ///< When the caller may retry; nothing when a retry would not help.
};

/// One chunk of a model's streamed answer.
struct ResponseChunk {
    std::string delta;   ///< JSON text of the "delta" object that the upstream sent.
    std::string content; ///< Text content of the delta; empty when it has none.
    std::uint32_t tokens = 1;
};

/// Token counts of a complete answer, as counted by the upstream and summed over all attempts.
struct Usage {
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Complete answer of a service that is not a model.
struct ServiceAnswer {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Whether a request is a chat completion or a call of a service.
enum class RequestKind : std::uint8_t {
    Chat,
    Service,
};

/// A caller's request; immutable once it is accepted.
struct RequestSpec {
    RequestKind kind = RequestKind::Chat;
    std::string workspace;
    std::string target; ///< Name of the model or service.
    TrafficClass trafficClass = TrafficClass::Question;
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool idempotent = true;
    std::chrono::milliseconds deadline{0};   ///< Time allowed for the whole answer, counted from the arrival.
    std::chrono::milliseconds firstToken{0}; ///< Time allowed for the first token, counted from the arrival; zero when not limited.
    std::uint32_t priority = 0;
    std::uint32_t promptTokens = 0;
    std::uint64_t prefixHash = 0;                             ///< Equal for requests whose prompts begin alike; zero when not known.
    std::uint32_t maxTokens = 0;                              ///< Limit on the answer's tokens; zero when the caller set none.
    bool includeUsage = false;                                ///< Whether the streamed answer ends with its token counts.
    std::string method;                                       ///< HTTP method of a service call.
    std::string path;                                         ///< Path of a service call, with its query.
    std::vector<std::pair<std::string, std::string>> headers; ///< Headers of a service call that are passed to the upstream.
    std::string body;
};

}
