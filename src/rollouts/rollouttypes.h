#pragma once

#include "base/types.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::rollouts {

/// Identifies an order. A later order for a service has a higher id, also after the log was restored from a copy.
using OrderId = std::uint64_t;

/// Id of the order at @p offset of the log in its era @p era, 0 when the log states none.
constexpr OrderId orderId(std::uint64_t era, std::uint64_t offset)
{
    constexpr unsigned OffsetBits = 40;
    return (era << OffsetBits) | (offset & ((OrderId{1} << OffsetBits) - 1));
}

/// An operator's order to move a service's requests to upstreams of another software version, which are started beside the others.
struct Order {
    std::string service;
    std::string version; ///< The software version that is rolled out.
    std::chrono::milliseconds duration{0};

    bool operator==(const Order &) const = default;
};

/// How far a roll-out has come.
enum class State : std::uint8_t {
    Unknown = 0, ///< No holder of the duties has said anything about it.
    Running = 1,
    Complete = 2,
    RolledBack = 3,
};

/// Whether @p state does not change any more. Thread-safe.
constexpr bool isFinal(State state)
{
    return state == State::Complete || state == State::RolledBack;
}

/// Name of a state in log lines. Thread-safe.
constexpr std::string_view name(State state)
{
    switch (state) {
    case State::Unknown:
        return "unknown";
    case State::Running:
        return "running";
    case State::Complete:
        return "complete";
    case State::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

/// What the platform's log records of a roll-out.
struct StateRecord {
    std::string service;
    std::string version;
    State state = State::Running;
    OrderId order = 0;            ///< 0 when the record does not state it.
    std::uint64_t deadlineMs = 0; ///< End of the order's duration, as Unix time in milliseconds; 0 when not stated.

    bool operator==(const StateRecord &) const = default;
};

/// Bounds on the exposure of a version, over all hosts together.
struct ExposureBounds {
    double share = 0;                                  ///< Of the requests for the service during the order; with 0, orders are not followed.
    double slack = 0;                                  ///< Requests beyond the share.
    std::chrono::milliseconds maxRollbackDelay{5'000}; ///< After a version has shown to be bad, it gets no more requests.
};

/// What the choice of a version depends on.
struct RequestTraits {
    bool lostWithUpstream = false;                      ///< A stream that no other upstream can go on with, so that it ends with its upstream.
    bool othersUnreached = false;                       ///< Upstreams that were chosen for the request could not be connected to.
    std::optional<std::string_view> continuedVersion{}; ///< The only version that may run the request.
};

/// Which upstreams may run a request.
struct VersionFilter {
    std::string only;                         ///< The only version; any when empty.
    std::vector<std::string> without{};       ///< Versions that may not.
    std::span<const std::string> instances{}; ///< The only instances; any when empty. Valid until the gate is changed.
    bool exposes = false;                     ///< The request counts as exposed to the version that is rolled out.
    bool optional = false;                    ///< If no such upstream takes the request, it may be chosen by the filter without exposure.

    /// Whether an upstream may run the request.
    [[nodiscard]] bool admits(std::string_view version, std::string_view instance) const
    {
        return (only.empty() || version == only) && std::ranges::find(without, version) == without.end()
            && (instances.empty() || std::ranges::find(instances, instance) != instances.end());
    }
};

/// An upstream of the platform's list.
struct ListedUpstream {
    std::string_view service;
    std::string_view version;
    std::string_view instance;
    std::uint32_t slots = 0;
    bool usable = false;
    bool warmingUp = false; ///< It has just started and is still slow.
};

}
