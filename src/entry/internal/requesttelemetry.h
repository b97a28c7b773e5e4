#pragma once

#include "decisions/decisiontypes.h"
#include "metrics/imetrics.h"
#include "requests/requestregistry.h"
#include "timeline/itimeline.h"
#include "upstreams/upstreamtypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace rosemaryshift::entry {

/// Records the lifecycle of each request in the event timeline, the metrics and the process log. Never contains prompts,
/// answers or idempotency keys of callers. Must be used on the control thread.
class RequestTelemetry
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;

    RequestTelemetry(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics);

    /// The request was accepted or, when it is suspended, resumed.
    void arrived(const requests::RequestRecord &record);
    /// The request waits in its workspace's queue behind @p ahead others.
    void queued(const requests::RequestRecord &record, std::uint32_t ahead);
    /// An attempt at @p upstream starts.
    void routed(const RecordPtr &record, AttemptId attempt, const std::string &upstream, const decisions::RouteReason &reason);
    /// The attempt has produced tokens.
    void attemptProgressed(AttemptId attempt);
    void attemptEnded(AttemptId attempt, const upstreams::AttemptResult &result);
    void attemptCancelled(AttemptId attempt);
    void completed(const requests::RequestRecord &record, AttemptId attempt);
    /// The request was answered with the stored answer of an earlier request with the same idempotency key.
    void replayed(const requests::RequestRecord &record);
    void refused(const requests::RequestRecord &record, std::string_view code, RunState run);
    void callerGone(const requests::RequestRecord &record);

    /// Formats an attempt's number as in the event timeline.
    static std::string attemptText(AttemptId attempt);

private:
    struct RunningAttempt {
        RecordPtr record;
        std::string upstream;
        bool awaitsFirstToken = false;
    };

    /// Timeline fields of an event about @p attempt.
    [[nodiscard]] timeline::EventFields fieldsOf(AttemptId attempt) const;
    void noteResume(const requests::RequestRecord &record, AttemptId attempt, std::uint64_t tokensSoFar);
    void countLeftQueue(const requests::RequestRecord &record);
    void forget(AttemptId attempt);
    /// True while an attempt of the request is running.
    [[nodiscard]] bool hasRunningAttempt(RequestId request) const;

    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
    std::map<AttemptId, RunningAttempt> m_attempts;
    std::map<RequestId, std::uint32_t> m_runningAttempts; ///< Number of running attempts by request; no entry when there is none.
    std::set<RequestId> m_queued;                         ///< Requests that the metrics count as queued.
};

}
