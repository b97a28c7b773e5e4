#pragma once

#include "base/types.h"
#include "ports/messages.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::balancing {

/// What choosing an upstream needs to know about a request.
struct RequestProfile {
    std::string_view service;
    std::string_view zone;                          ///< Where this host stands.
    std::span<const ports::PromptPart> promptParts; ///< Empty for plain services.
    std::uint64_t promptTokens = 0;
};

/// An upstream that may be chosen.
struct Candidate {
    std::string_view instance;
    std::string_view zone;
    std::uint32_t slots = 1;
    std::uint32_t maxConcurrentRequests = 0; ///< Requests that this host may have under way there at a time; 0 for no limit.
    bool zoneUnreachable = false;            ///< Nothing is heard from its availability zone.
};

/// The upstream chosen, with what decided.
struct Choice {
    std::string instance;
    Duration expected{0};             ///< Time to the first event, or to the answer of a plain service.
    std::uint64_t uncachedTokens = 0; ///< Prompt tokens that the upstream is thought to have to read.
    std::string runnerUp;             ///< Empty when there was no other.
    Duration runnerUpExpected{0};
};

/// What one host has under way at one upstream.
struct Outstanding {
    std::uint32_t running = 0;       ///< Requests without a final answer.
    std::uint64_t prefillTokens = 0; ///< Prompt tokens to read before the first events of those that have none yet.

    bool operator==(const Outstanding &) const = default;
};

/// How an attempt at an upstream ended, as far as the upstream's health is concerned.
enum class AttemptEnd : std::uint8_t {
    Succeeded,
    Failed,       ///< An error, a cut or silence.
    Rejected,     ///< It refused without running the request.
    Inconclusive, ///< The caller gave up; says nothing about the upstream.
};

}
