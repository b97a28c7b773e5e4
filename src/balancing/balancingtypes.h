#pragma once

#include "base/types.h"
#include "ports/messages.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::balancing {

/// The properties of a request that the choice of an upstream depends on.
struct RequestProfile {
    std::string_view service;
    std::string_view zone;                          ///< This host's availability zone; empty when unknown.
    std::span<const ports::PromptPart> promptParts; ///< In the order of the prompt; empty for services that are not engines.
    std::uint64_t promptTokens = 0;                 ///< Zero for services that are not engines.
    bool pooledSpeeds = false;                      ///< Whether the hosts measure the service's engines together, see UpstreamSpeeds.
};

/// An upstream that a request may be sent to.
struct Candidate {
    std::string_view instance;
    std::string_view zone;
    std::uint32_t slots = 1;                 ///< Requests that it processes concurrently.
    std::uint32_t maxConcurrentRequests = 0; ///< Requests that this host may have running there at a time; 0 for no limit.
    bool zoneUnreachable = false;            ///< No host of its availability zone has been heard from recently.
};

/// The chosen upstream, with the estimates that the choice was based on.
struct Choice {
    std::string instance;
    Duration expected{0};             ///< Estimated time to the first event, or to the answer of a service that is not an engine.
    std::uint64_t uncachedTokens = 0; ///< Estimated prompt tokens that the upstream has to process because they are not in its cache.
    std::string runnerUp;             ///< Instance with the second-best ranking; empty when there was only one candidate.
    Duration runnerUpExpected{0};     ///< As expected, at the runner-up.
    bool queued = false;              ///< Whether the request is expected to wait until another one has ended.
    double comparedSpeed = 0;         ///< Mean speed of the upstreams that were compared, see UpstreamSpeeds; 0 when speeds are not pooled.
};

/// The load that one host has placed on one upstream.
struct Outstanding {
    std::uint32_t running = 0;       ///< Requests whose answer is not complete.
    std::uint64_t prefillTokens = 0; ///< Uncached prompt tokens of the requests that have not had a first event.

    bool operator==(const Outstanding &) const = default;
};

/// How an attempt at an upstream ended, as counted for the upstream's health.
enum class AttemptEnd : std::uint8_t {
    Succeeded,
    Failed,       ///< It answered with an error, the connection broke or a timeout passed.
    Rejected,     ///< It refused the request without running it; counts as a failure.
    Inconclusive, ///< The caller disconnected, or the end says nothing about the upstream for another reason; not counted.
};

}
