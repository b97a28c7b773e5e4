#pragma once

#include "base/types.h"
#include "quarantine/quarantinetypes.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rosemaryshift::decisions {

/// How an attempt ended, as observed by the host.
enum class AttemptOutcome : std::uint8_t {
    Completed,  ///< The whole answer was received, with its end marker.
    NotOffered, ///< No byte was sent to the upstream.
    Declined,   ///< The upstream answered that it did not run the request.
    Broken,     ///< The connection broke or the answer was invalid; the request may have run.
    Silent,     ///< Nothing was received within the progress timeout; the request may have run.
    Rejected,   ///< The upstream answered that the request itself is invalid; a retry would end the same way.
    Cancelled,  ///< The host cancelled the attempt.
};

/// Why a request was refused or given up.
enum class RefusalCode : std::uint8_t {
    OverLimit,      ///< The workspace has reached its limit of running requests and its queue is full.
    Overloaded,     ///< The request is not expected to start in time.
    NoUpstream,     ///< No live upstream serves the target.
    DeadlinePassed, ///< The deadline passed before the answer was complete.
    AttemptsFailed, ///< All permitted attempts failed.
    OutcomeUnknown, ///< The request may have run and must not be repeated.
    RouteWithdrawn, ///< The workspace's template no longer contains the target.
    Rejected,       ///< An upstream answered that the request itself is invalid.
    HostStopping,   ///< This host is shutting down.
    Quarantined,    ///< Upstreams crashed while they ran requests that are equal to it.
};

/// An upstream was added or its properties changed.
struct UpstreamListed {
    UpstreamId upstream;
    std::string name; ///< Name that all hosts know the upstream by.
    ZoneId zone;
    bool sameZone = true;
    std::vector<TargetId> targets;
    std::uint32_t slots = 1;    ///< Requests that the upstream processes concurrently.
    double price = 0;           ///< Price per hour, in the platform's currency.
    bool checksFencing = false; ///< Whether the upstream checks fencing tokens.
};

/// An upstream is about to be removed: it gets no new requests and is gone at @c goneAt.
struct UpstreamLeaving {
    UpstreamId upstream;
    TimePoint goneAt;
};

/// An upstream has been removed.
struct UpstreamGone {
    UpstreamId upstream;
};

/// A load report of an upstream, which may arrive late.
struct UpstreamReported {
    UpstreamId upstream;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    TimePoint measuredAt;
};

/// Sets the limits of a workspace on this host.
struct WorkspaceLimitsChanged {
    WorkspaceId workspace;
    std::uint32_t maxInFlight = 0;
    std::uint32_t maxQueued = 0;
};

/// Sets the number of live entry hosts that share the upstreams, including this one.
struct EntryHostCountChanged {
    std::uint32_t hosts = 1;
};

/// Sets the targets that a workspace may use. Queued requests for other targets are refused; running ones continue.
struct WorkspaceTargetsChanged {
    WorkspaceId workspace;
    std::vector<TargetId> targets;
};

/// A request was accepted by this host, from a caller or handed over from another host.
struct RequestArrived {
    RequestId request;
    WorkspaceId workspace;
    TrafficClass trafficClass = TrafficClass::Question;
    TargetId target;
    TimePoint deadline;
    std::optional<TimePoint> firstTokenDeadline; ///< Latest useful time of the first token; nothing when only the deadline applies.
    std::uint32_t promptTokens = 0;
    std::uint32_t expectedTokens = 0; ///< Expected length of the answer; zero when not known.
    std::uint32_t tokensDone = 0;     ///< Tokens that were generated before this host took the request over.
    std::uint64_t prefixHash = 0;     ///< Equal for requests whose prompts begin alike; zero when not known.
    std::string targetName;           ///< Name that all hosts know the target by.
    std::uint64_t fingerprint = 0;    ///< Equal for equal requests; see quarantine::requestFingerprint().
    bool idempotent = true;           ///< Whether the request may run more than once.
};

/// An attempt produced output.
struct AttemptProgressed {
    AttemptId attempt;
    std::uint32_t tokens = 0; ///< Tokens since the last event of this attempt.
};

/// An attempt ended.
struct AttemptEnded {
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Completed;
    bool connectionLost = false; ///< The upstream's connection closed before the end of the answer, as it does when the upstream crashes.
};

/// The caller disconnected. An idempotent request is cancelled; any other one continues.
struct CallerDisconnected {
    RequestId request;
};

/// Names of this host and of the other live entry hosts, which divide the trials of suspected requests among them.
struct EntryHostsNamed {
    std::string own;
    std::vector<std::string> others;
};

/// What another host knows about requests that may crash upstreams.
struct SuspectsReported {
    std::vector<quarantine::SuspectReport> reports;
};

/// The host shuts down: accepted requests finish, new ones are refused.
struct HostStopping {
};

using Event = std::variant<UpstreamListed,
                           UpstreamLeaving,
                           UpstreamGone,
                           UpstreamReported,
                           WorkspaceLimitsChanged,
                           WorkspaceTargetsChanged,
                           EntryHostCountChanged,
                           RequestArrived,
                           AttemptProgressed,
                           AttemptEnded,
                           CallerDisconnected,
                           EntryHostsNamed,
                           SuspectsReported,
                           HostStopping>;

/// Why an upstream was chosen.
struct RouteReason {
    std::uint32_t candidates = 0;  ///< Upstreams that were considered.
    std::uint32_t ownInFlight = 0; ///< Attempts of this host at the chosen upstream, before this one.
    bool retry = false;            ///< Whether the request had an earlier attempt.
    double score = 0;              ///< Estimated seconds to completion, weighted by price, or fraction of slots in use, depending on the policy.
    bool reconnect = false;        ///< Whether this is a new connection to the same upstream after a progress timeout.
};

/// Send the request to an upstream.
struct StartAttempt {
    RequestId request;
    AttemptId attempt;
    UpstreamId upstream;
    RouteReason reason;
};

/// Cancel a running attempt.
struct CancelAttempt {
    RequestId request;
    AttemptId attempt;
};

/// Answer the request with a refusal; this is its final answer.
struct RefuseRequest {
    RequestId request;
    RefusalCode code = RefusalCode::NoUpstream;
    RunState run = RunState::NotRun; ///< Whether the request may have run.
    Duration retryAfter{0};          ///< When the caller may retry; zero when a retry would not help.
};

/// The request was queued until a slot is free.
struct QueueRequest {
    RequestId request;
    std::uint32_t ahead = 0; ///< Other queued requests of its workspace.
};

/// The request's answer is complete, and the core has dropped the request.
struct CompleteRequest {
    RequestId request;
    AttemptId attempt;
};

using Action = std::variant<StartAttempt, CancelAttempt, RefuseRequest, QueueRequest, CompleteRequest>;

/// Returns the stable lower-case name that error codes and timelines use. Thread-safe.
std::string_view name(AttemptOutcome outcome);
std::string_view name(RefusalCode code);

}
