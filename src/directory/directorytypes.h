#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemaryshift::directory {

/// State that an upstream reports about itself.
enum class UpstreamState : std::uint8_t {
    Ready,
    Leaving, ///< Finishes its requests and accepts no new ones.
};

/// One run of an upstream, as listed by the platform.
struct UpstreamEntry {
    std::string instance;          ///< Id of the upstream; a later run may reuse it.
    std::uint64_t startTimeMs = 0; ///< Unix time in milliseconds at which this run started, as reported by the upstream; 0 when not reported.
    std::string service;
    std::string softwareVersion; ///< Version of the upstream's software, not of the model's weights.
    http::Endpoint endpoint;
    std::string zone;
    std::uint32_t slots = 0; ///< Requests that it runs at the same time.
    UpstreamState state = UpstreamState::Ready;
    bool reclaimable = false;                          ///< The platform may take the upstream away at short notice.
    std::optional<std::chrono::milliseconds> leavesIn; ///< Time until the platform takes the upstream away, when known.
    std::chrono::milliseconds warmUp{0};               ///< Remaining time during which the upstream is slow after its start.

    bool operator==(const UpstreamEntry &) const = default;
};

}
