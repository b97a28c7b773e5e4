#include "timeline/explanation.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::timeline {

namespace {

/// The detail in brackets behind a sentence's words, when there is one.
std::string because(const EventFields &fields)
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
        return event.host + " accepted the request of workspace " + fields.workspace + because(fields);
    case EventKind::RequestQueued:
        return "it had to wait for a slot" + because(fields);
    case EventKind::RequestRouted:
        return "it was sent to " + fields.upstream + " as attempt " + fields.attempt + because(fields);
    case EventKind::RequestHedged:
        return "it was sent to " + fields.upstream + " beside the attempt under way" + because(fields);
    case EventKind::RequestMoved:
        return "it goes on from the tokens it has" + because(fields);
    case EventKind::RequestResumed:
        return event.host + " went on with it" + because(fields);
    case EventKind::RequestHandedOver:
        return event.host + " handed it over to another host" + because(fields);
    case EventKind::RequestCompleted:
        return "the whole answer was there; the request is complete" + because(fields);
    case EventKind::RequestRefused:
        return "it was refused; that is its final answer" + because(fields);
    case EventKind::AttemptEnded:
        return attemptOf(fields) + " ended" + because(fields);
    case EventKind::AttemptCancelled:
        return attemptOf(fields) + " was cancelled" + because(fields);
    case EventKind::CallerGone:
        return "all its callers had gone away; it is kept until one asks again" + because(fields);
    case EventKind::BookingClaimed:
        return event.host + " claimed the booking" + because(fields);
    case EventKind::BookingReleased:
        return event.host + " released the claim on the booking" + because(fields);
    case EventKind::BookingDispatched:
        return "the booking was sent to " + fields.upstream + "; it is not sent again" + because(fields);
    case EventKind::BookingOutcome:
        return "the outcome of the booking is known" + because(fields);
    case EventKind::ReplicaUnreachable:
        return "no other host could be reached to keep a copy of it" + because(fields);
    default:
        return std::string(name(event.kind)) + because(fields);
    }
}

std::string line(std::int64_t elapsedMs, const std::string &sentence)
{
    return "+" + std::to_string(elapsedMs) + " ms: " + sentence + ".";
}

/// Hosts that have an event of the request.
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
            sentences.push_back(line(elapsed, std::to_string(merged.lostBefore) + " events of " + event.host + " are lost here; some may be of this request"));
        }
        if (isOfRequest) {
            sentences.push_back(line(elapsed, sentenceOf(event)));
        }
    }
    return sentences;
}

}
