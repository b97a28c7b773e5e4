#include "timeline/timelinetypes.h"

#include "base/text.h"

#include <array>
#include <utility>

namespace rosemaryshift::timeline {

namespace {

using Named = std::pair<EventKind, std::string_view>;

constexpr std::array Names{
    Named{EventKind::HostStarted, "host_started"},
    Named{EventKind::HostReady, "host_ready"},
    Named{EventKind::HostStopping, "host_stopping"},
    Named{EventKind::HostStopped, "host_stopped"},
    Named{EventKind::ReclaimNotice, "reclaim_notice"},
    Named{EventKind::RequestAccepted, "request_accepted"},
    Named{EventKind::RequestQueued, "request_queued"},
    Named{EventKind::RequestRouted, "request_routed"},
    Named{EventKind::RequestHedged, "request_hedged"},
    Named{EventKind::RequestMoved, "request_moved"},
    Named{EventKind::RequestResumed, "request_resumed"},
    Named{EventKind::RequestHandedOver, "request_handed_over"},
    Named{EventKind::RequestCompleted, "request_completed"},
    Named{EventKind::RequestRefused, "request_refused"},
    Named{EventKind::AttemptEnded, "attempt_ended"},
    Named{EventKind::AttemptCancelled, "attempt_cancelled"},
    Named{EventKind::CallerGone, "caller_gone"},
    Named{EventKind::BookingClaimed, "booking_claimed"},
    Named{EventKind::BookingReleased, "booking_released"},
    Named{EventKind::BookingDispatched, "booking_dispatched"},
    Named{EventKind::BookingOutcome, "booking_outcome"},
    Named{EventKind::TemplateInForce, "template_in_force"},
    Named{EventKind::TemplateRejected, "template_rejected"},
    Named{EventKind::TemplateCarried, "template_carried"},
    Named{EventKind::UpstreamListed, "upstream_listed"},
    Named{EventKind::UpstreamLeaving, "upstream_leaving"},
    Named{EventKind::UpstreamGone, "upstream_gone"},
    Named{EventKind::UpstreamDemoted, "upstream_demoted"},
    Named{EventKind::UpstreamRestored, "upstream_restored"},
    Named{EventKind::PeerSeen, "peer_seen"},
    Named{EventKind::PeerLost, "peer_lost"},
    Named{EventKind::ReplicaUnreachable, "replica_unreachable"},
    Named{EventKind::PlatformLost, "platform_lost"},
    Named{EventKind::PlatformBack, "platform_back"},
    Named{EventKind::RecordSkipped, "record_skipped"},
};

}

std::string_view name(EventKind kind)
{
    for (const Named &named : Names) {
        if (named.first == kind) {
            return named.second;
        }
    }
    return "unknown";
}

std::optional<EventKind> eventKindFromName(std::string_view text)
{
    for (const Named &named : Names) {
        if (named.second == text) {
            return named.first;
        }
    }
    return std::nullopt;
}

std::string Stamp::text() const
{
    return std::to_string(wallMs) + "." + std::to_string(counter);
}

std::optional<Stamp> Stamp::parse(std::string_view text)
{
    const std::size_t dot = text.find('.');
    const std::optional<std::uint64_t> wall = parseUnsigned(text.substr(0, dot));
    const std::optional<std::uint64_t> counter = dot == std::string_view::npos ? 0 : parseUnsigned(text.substr(dot + 1));
    if (!wall || !counter || *wall > static_cast<std::uint64_t>(INT64_MAX) || *counter > UINT32_MAX) {
        return std::nullopt;
    }
    return Stamp{static_cast<std::int64_t>(*wall), static_cast<std::uint32_t>(*counter)};
}

}
