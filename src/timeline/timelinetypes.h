#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::timeline {

/// Reading of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
struct Stamp {
    std::int64_t wallMs = 0;   ///< Milliseconds since 1970, never behind a stamp seen before.
    std::uint32_t counter = 0; ///< Orders stamps within one millisecond.

    auto operator<=>(const Stamp &) const = default;

    /// "wallMs.counter".
    [[nodiscard]] std::string text() const;
    /// Reads what text() wrote; nothing when malformed.
    static std::optional<Stamp> parse(std::string_view text);
};

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

/// What an event says besides its kind; empty parts do not apply.
struct EventFields {
    std::string request = {};
    std::string attempt = {};
    std::string workspace = {};
    std::string upstream = {};
    std::string detail = {}; ///< Reason in a few words; never a caller's text or key.
};

struct TimelineEvent {
    Stamp stamp;
    std::string host;
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Counts the events of one process, so that lost ones show as gaps.
    EventKind kind = EventKind::HostStarted;
    EventFields fields;
};

/// Stable lower-case name of an event kind. Thread-safe.
std::string_view name(EventKind kind);
/// Reads an event kind by its name; nothing when there is no such kind. Thread-safe.
std::optional<EventKind> eventKindFromName(std::string_view text);

}
