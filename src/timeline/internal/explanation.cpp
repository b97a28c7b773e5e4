#include "timeline/explanation.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::timeline {

namespace {

/// The detail in brackets, to be appended to a sentence; empty when there is none.
std::string bracketedDetail(const EventFields &fields)
{
    return fields.detail.empty() ? std::string() : " (" + fields.detail + ")";
}

std::string attemptOf(const EventFields &fields)
{
    const std::string at = fields.upstream.empty() ? std::string() : " at " + fields.upstream;
    return "attempt " + fields.attempt + at;
}

std::string sentenceOf(const TimelineEvent &event)
{
    const EventFields &fields = event.fields;
    switch (event.kind) {
    case EventKind::RequestAccepted:
        return event.host + " accepted the request of workspace " + fields.workspace + bracketedDetail(fields);
    case EventKind::RequestQueued:
        return "it had to wait for a slot" + bracketedDetail(fields);
    case EventKind::RequestRouted:
        return "it was sent to " + fields.upstream + " as attempt " + fields.attempt + bracketedDetail(fields);
    case EventKind::RequestHedged:
        return "it was also sent to " + fields.upstream + " while another attempt was in progress" + bracketedDetail(fields);
    case EventKind::RequestMoved:
        return "it continues after the tokens received so far" + bracketedDetail(fields);
    case EventKind::RequestResumed:
        return event.host + " continued it" + bracketedDetail(fields);
    case EventKind::RequestHandedOver:
        return event.host + " handed it over to another host" + bracketedDetail(fields);
    case EventKind::RequestCompleted:
        return "the request completed with its whole answer" + bracketedDetail(fields);
    case EventKind::RequestRefused:
        return "it was refused; that is its final answer" + bracketedDetail(fields);
    case EventKind::AttemptEnded:
        return attemptOf(fields) + " ended" + bracketedDetail(fields);
    case EventKind::AttemptCancelled:
        return attemptOf(fields) + " was cancelled" + bracketedDetail(fields);
    case EventKind::CallerGone:
        return "all its callers have disconnected; it is kept until one reconnects" + bracketedDetail(fields);
    case EventKind::BookingClaimed:
        return event.host + " claimed the booking" + bracketedDetail(fields);
    case EventKind::BookingReleased:
        return event.host + " released the claim on the booking" + bracketedDetail(fields);
    case EventKind::BookingDispatched:
        return "the booking was sent to " + fields.upstream + "; it is not sent again" + bracketedDetail(fields);
    case EventKind::BookingOutcome:
        return "the outcome of the booking is known" + bracketedDetail(fields);
    case EventKind::ReplicaUnreachable:
        return "no other host could be reached to keep a copy of it" + bracketedDetail(fields);
    default:
        return std::string(name(event.kind)) + bracketedDetail(fields);
    }
}

/// One line of the explanation, with the time since the first event of the request.
std::string timedLine(std::int64_t elapsedMs, const std::string &sentence)
{
    return "+" + std::to_string(elapsedMs) + " ms: " + sentence + ".";
}

/// Hosts with at least one event of the request.
std::set<std::string> hostsOf(std::span<const MergedEvent> events, std::string_view request)
{
    std::set<std::string> hosts;
    for (const MergedEvent &merged : events) {
        if (merged.event.fields.request == request) {
            hosts.insert(merged.event.host);
        }
    }
    return hosts;
}

}

std::vector<std::string> explainRequest(std::span<const MergedEvent> events, std::string_view request)
{
    const std::set<std::string> hosts = hostsOf(events, request);
    std::vector<std::string> sentences;
    std::optional<std::int64_t> begin;
    for (const MergedEvent &merged : events) {
        const TimelineEvent &event = merged.event;
        const bool isOfRequest = event.fields.request == request;
        if (isOfRequest && !begin) {
            begin = event.stamp.wallMs;
        }
        const std::int64_t elapsed = event.stamp.wallMs - begin.value_or(event.stamp.wallMs);
        if (merged.lostBefore > 0 && hosts.contains(event.host)) {
            sentences.push_back(
                timedLine(elapsed, std::to_string(merged.lostBefore) + " events of " + event.host + " are lost here; some may be of this request"));
        }
        if (isOfRequest) {
            sentences.push_back(timedLine(elapsed, sentenceOf(event)));
        }
    }
    return sentences;
}

}
