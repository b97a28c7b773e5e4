#pragma once

#include "ports/istreammover.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::ports {

/// A section of a prompt that several requests may have in common.
struct PromptPart {
    std::uint64_t id = 0; ///< Equal for parts with equal content.
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/// What a caller's request headers say about one attempt.
struct CallerRequest {
    std::string attemptId;                             ///< Unique for each attempt; a retry by the caller has another one.
    std::optional<std::chrono::milliseconds> timeLeft; ///< How long the caller will still wait.
    std::string apiKey;                                ///< API key of a workspace; empty when the caller sent none.
    std::string resumedAttempt;                        ///< The attempt that brought the first event of the stream to resume; empty when not named.
    std::optional<std::string> lastEventId;            ///< Id of the last event that the caller has, when it resumes a stream that broke off.
    std::string model;                                 ///< Empty for services that run no language model.
    std::optional<std::uint64_t> promptTokens;
    std::uint64_t maxOutputTokens = 0;
    std::optional<std::uint64_t> expectedOutputTokens; ///< The caller's estimate; nothing when it sent none or it cannot be read.
    bool expectedOutputMalformed = false;              ///< The caller's estimate cannot be read.
    std::vector<PromptPart> promptParts;               ///< In the order of the prompt; the last one is unique to the request.

    /// The parts that other requests may have in common with this one. The view is valid as long as promptParts is unchanged.
    [[nodiscard]] std::span<const PromptPart> sharedPromptParts() const
    {
        return std::span(promptParts).first(promptParts.empty() ? 0 : promptParts.size() - 1);
    }
};

/// Priority with which an upstream admits a request; 0 is the highest.
using UpstreamPriority = std::uint8_t;

/// What the gateway adds to the headers of a request that it sends to an upstream.
struct Dispatch {
    std::chrono::milliseconds timeLeft{0};
    std::string instance;  ///< The only upstream instance that may run the request.
    std::string workspace; ///< Empty when the route needs no key.
    std::optional<UpstreamPriority> priority;
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has received, when another upstream resumes a stream.
    std::optional<RunMemory> memory;        ///< Where the upstream finds the memory of the run, when it goes on from there.
};

/// What an upstream states about its load at the moment of a response.
struct StatedLoad {
    std::uint32_t running = 0; ///< Requests that it processes.
    std::uint32_t waiting = 0; ///< Requests in its queue.
    std::uint32_t slots = 0;   ///< Requests that it processes concurrently at most.
    double slowness = 1;       ///< How long work takes on its machine over what is usual there.

    bool operator==(const StatedLoad &) const = default;
};

/// What the headers of an upstream's response say.
struct ResponseMetadata {
    std::string attemptId;    ///< Attempt that the response belongs to; empty when not stated.
    bool sealed = false;      ///< The response has the header with the upstream's signature.
    bool notExecuted = false; ///< The upstream states that it did not run the request.
    bool leaving = false;     ///< The upstream states that it leaves and wants no new requests.
    /// Requests per second that the upstream accepts from all hosts together while its answers say so; nothing when it states no limit.
    std::optional<double> requestLimit;
    bool requestLimitMalformed = false; ///< The answer states a limit that cannot be read.
    /// Time for which the upstream wants no requests from this host; set only with a refusal by status 503.
    std::optional<std::chrono::milliseconds> pause;
    bool pauseMalformed = false; ///< The refusal states a time that cannot be read.
    std::optional<StatedLoad> load;
    bool loadMalformed = false; ///< The response states a load that cannot be read or is out of range.
};

}
