#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemaryshift::directory {

/// What an upstream says of itself.
enum class UpstreamState : std::uint8_t {
    Ready,
    Leaving, ///< Finishes what it has and takes nothing new.
};

/// One start of an upstream as the platform lists it.
struct UpstreamEntry {
    std::string instance;     ///< Id of the upstream; may come back with a later start.
    std::uint64_t bornMs = 0; ///< Unix time of this start in milliseconds, as the upstream tells it; 0 when not told.
    std::string service;
    http::Endpoint endpoint;
    std::string zone;
    std::uint32_t slots = 0;
    UpstreamState state = UpstreamState::Ready;
    bool reclaimable = false;
    std::optional<std::chrono::milliseconds> leavesIn; ///< Time until the platform takes it away, when known.
    std::chrono::milliseconds warmUp{0};               ///< How much longer it stays slow after its start.
};

}
