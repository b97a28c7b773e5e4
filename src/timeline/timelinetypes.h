#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::timeline {

/// Reading of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
struct Stamp {
    std::int64_t wallMs = 0;   ///< Milliseconds since 1970; never less than in an earlier stamp of the same clock.
    std::uint32_t counter = 0; ///< Orders stamps within one millisecond.

    auto operator<=>(const Stamp &) const = default;

    /// "wallMs.counter".
    [[nodiscard]] std::string text() const;
    /// Parses the form that text() returns, or milliseconds alone; nothing when malformed.
    static std::optional<Stamp> parse(std::string_view text);
};

/// What happened in an event.
enum class EventKind : std::uint8_t {
    HostStarted,       ///< The process started.
    HostReady,         ///< The host began to accept requests.
    HostStopping,      ///< The host began to stop and accepts no new requests.
    HostStopped,       ///< The process is about to exit.
    ReclaimNotice,     ///< The platform announced that it will reclaim the host.
    RequestAccepted,   ///< The host accepted a request.
    RequestQueued,     ///< The request has to wait for a slot.
    RequestRouted,     ///< An attempt was sent to an upstream while no other one was in progress.
    RequestHedged,     ///< An attempt was sent to an upstream while another one was in progress.
    RequestMoved,      ///< The next attempt continues after the tokens received so far.
    RequestResumed,    ///< The host continues a suspended request or one of another host.
    RequestHandedOver, ///< The host passed the request to another host.
    RequestCompleted,  ///< The request got its whole answer.
    RequestRefused,    ///< The request was refused, which is its final answer.
    AttemptEnded,      ///< An attempt ended, whether or not it succeeded.
    AttemptCancelled,  ///< The host cancelled an attempt.
    CallerGone,        ///< All callers of the request have disconnected, so it is suspended.
    BookingClaimed,    ///< The host's claim on the booking's key won.
    BookingReleased,   ///< The host gave up a claim.
    BookingDispatched, ///< The booking was sent to an upstream.
    BookingOutcome,    ///< The outcome of the booking is known.
    TemplateInForce,   ///< A template revision of a workspace came into force on the host.
    TemplateRejected,  ///< A change of a workspace's template was not accepted.
    TemplateCarried,   ///< The host appends the template revision in force to the log again, before the log's retention drops it.
    UpstreamListed,    ///< The platform listed an upstream that is new, is back or has a new endpoint.
    UpstreamLeaving,   ///< An upstream is about to be removed.
    UpstreamGone,      ///< An upstream is no longer on the platform's list.
    UpstreamDemoted,
    UpstreamRestored,
    PeerSeen,           ///< Another host appeared or announced that it is leaving.
    PeerLost,           ///< Another host missed several heartbeats or was replaced by a later incarnation.
    ReplicaUnreachable, ///< No other host could store a replica of the request.
    PlatformLost,       ///< The platform's log became unreachable.
    PlatformBack,       ///< The platform's log became reachable.
    RecordSkipped,      ///< A log record or rows of the platform's host list could not be read.
};

/// Optional details of an event. Fields that do not apply are empty.
struct EventFields {
    std::string request = {}; ///< Id of the request.
    std::string attempt = {}; ///< Number of the attempt.
    std::string workspace = {};
    std::string upstream = {};
    std::string detail = {}; ///< Short reason; never contains a caller's text or key.
};

/// An event in the timeline of a process.
struct TimelineEvent {
    Stamp stamp;
    std::string host;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Number of the event within its process, from 0; a gap shows lost events.
    EventKind kind = EventKind::HostStarted;
    EventFields fields;
};

/// Stable lower-case name of an event kind. Thread-safe.
std::string_view name(EventKind kind);
/// Event kind with the name @p text; nothing when there is none. Thread-safe.
std::optional<EventKind> eventKindFromName(std::string_view text);

}
