#pragma once

#include <chrono>
#include <cstdint>

namespace rosemaryshift {

/// Clock of the decision core, in microseconds. Events carry the current time into the core, so the clock has no now().
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
/// Identifies one attempt to serve a request at one upstream; never reused within an incarnation.
enum class AttemptId : std::uint64_t {};
/// Identifies an upstream by its index in a dense table.
enum class UpstreamId : std::uint32_t {};
/// Identifies a workspace by its index in a dense table.
enum class WorkspaceId : std::uint32_t {};
/// Identifies an availability zone by its index in a dense table.
enum class ZoneId : std::uint32_t {};
/// Identifies a routing target, a model or a plain service, by its index in a dense table.
enum class TargetId : std::uint32_t {};

/// What is known about whether an upstream executed a request.
enum class RunState : std::uint8_t {
    NotRun,  ///< No byte of the request was offered to an upstream.
    Unknown, ///< The request may have been executed.
    Ran,     ///< The request was executed; only its answer is missing.
};

/// Traffic class of a request. That of a model request comes from the caller's header, which may name any class, or from
/// the workspace's template; that of a service call follows from whether the call is idempotent.
enum class TrafficClass : std::uint8_t {
    Question, ///< Model request with a deadline for its first token.
    Plan,     ///< Long-running model request; may use only a share of the slots.
    Lookup,   ///< Idempotent call to a plain service.
    Booking,  ///< Call to a plain service that is not idempotent.
};

constexpr std::size_t TrafficClassCount = 4;

}
