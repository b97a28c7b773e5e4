#pragma once

#include <chrono>
#include <cstdint>

namespace rosemaryshift {

/// Clock of the decision core: its time comes in with events, so it has no now().
struct CoreClock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<CoreClock>;
};

using TimePoint = CoreClock::time_point;
using Duration = CoreClock::duration;

/// Identifies a request on the host that accepted it; never reused within an incarnation.
enum class RequestId : std::uint64_t {};
/// Identifies one try of a request at one upstream; never reused within an incarnation.
enum class AttemptId : std::uint64_t {};
/// Dense row number of an upstream.
enum class UpstreamId : std::uint32_t {};
/// Dense row number of a workspace.
enum class WorkspaceId : std::uint32_t {};
/// Dense row number of an availability zone.
enum class ZoneId : std::uint32_t {};
/// Dense row number of a model or plain service that requests are routed to.
enum class TargetId : std::uint32_t {};

/// What is known about whether a request reached an upstream.
enum class RunState : std::uint8_t {
    NotRun,  ///< No byte of the request was offered to an upstream.
    Unknown, ///< It may have run.
    Ran,     ///< It ran; only its answer is missing.
};

/// Traffic class of a request, from the caller's header or the workspace's template.
enum class TrafficClass : std::uint8_t {
    Question,
    Plan,
    Lookup,
    Booking,
};

constexpr std::size_t TrafficClassCount = 4;

}
