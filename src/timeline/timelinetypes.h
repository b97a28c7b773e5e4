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
    HostStarted,
    HostReady,
    HostStopping,
    HostStopped,
    ReclaimNotice,
    RequestAccepted,
    RequestQueued,
    RequestRouted,
    RequestHedged,
    RequestMoved,
    RequestResumed,
    RequestHandedOver,
    RequestCompleted,
    RequestRefused,
    AttemptEnded,
    AttemptCancelled,
    CallerGone,
    BookingClaimed,
    BookingReleased,
    BookingDispatched,
    BookingOutcome,
    TemplateInForce,
    TemplateRejected,
    TemplateCarried,
    UpstreamListed,
    UpstreamLeaving,
    UpstreamGone,
    UpstreamDemoted,
    UpstreamRestored,
    PeerSeen,
    PeerLost,
    ReplicaUnreachable,
    PlatformLost,
    PlatformBack,
    RecordSkipped,
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
