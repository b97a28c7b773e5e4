#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::ports {

/// A part of a prompt that several requests may share.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// What a caller says about one attempt, read from its headers.
struct CallerRequest {
    std::string attemptId;                             ///< Each attempt of a caller has its own.
    std::optional<std::chrono::milliseconds> timeLeft; ///< How long the caller waits.
    std::string apiKey;                                ///< Key of a workspace; empty when none came.
    std::string model;                                 ///< Empty for plain services.
    std::optional<std::uint64_t> promptTokens;
    std::uint64_t maxOutputTokens = 0;
    std::vector<PromptPart> promptParts; ///< In the order of the prompt; the last one is the request's own.
};

/// How urgently an upstream admits a request; 0 is first.
using UpstreamPriority = std::uint8_t;

/// What the gateway adds to the headers of a request that it sends to an upstream.
struct Dispatch {
    std::chrono::milliseconds timeLeft{0};
    std::string instance;  ///< The only instance that may run it.
    std::string workspace; ///< Empty when the route needs no key.
    std::optional<UpstreamPriority> priority;
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has, when another upstream goes on.
};

/// What an upstream says in the head of an answer.
struct ResponseMetadata {
    std::string attemptId;
    bool sealed = false;      ///< It bears the upstream's signature.
    bool notExecuted = false; ///< The upstream states that it did not run the request.
};

}
