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

/// Notes what becomes of each request in the time line, the metrics and the log. Callers' texts and keys never get here.
/// Used from the control thread only.
class RequestTelemetry
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;

    RequestTelemetry(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics);

    /// The request was accepted or, when it is parked, taken up again.
    void arrived(const requests::RequestRecord &record);
    void queued(const requests::RequestRecord &record, std::uint32_t ahead);
    void routed(const RecordPtr &record, AttemptId attempt, const std::string &upstream, const decisions::RouteReason &reason);
    void attemptProgressed(AttemptId attempt);
    void attemptEnded(AttemptId attempt, const upstreams::AttemptResult &result);
    void attemptCancelled(AttemptId attempt);
    void completed(const requests::RequestRecord &record, AttemptId attempt);
    /// The request got the answer that is known for its key.
    void replayed(const requests::RequestRecord &record);
    void refused(const requests::RequestRecord &record, std::string_view code, RunState run);
    void callerGone(const requests::RequestRecord &record);

    /// An attempt's number as it stands in the time line.
    static std::string attemptText(AttemptId attempt);

private:
    struct RunningAttempt {
        RecordPtr record;
        std::string upstream;
        bool awaitsFirstToken = false;
    };

    /// Fields of an event about @p attempt.
    [[nodiscard]] timeline::EventFields fieldsOf(AttemptId attempt) const;
    void noteResume(const requests::RequestRecord &record, AttemptId attempt, std::uint64_t tokensSoFar);
    void countLeftQueue(const requests::RequestRecord &record);
    void forget(AttemptId attempt);
    /// Whether an attempt of the request is under way.
    [[nodiscard]] bool hasRunningAttempt(RequestId request) const;

    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
    std::map<AttemptId, RunningAttempt> m_attempts;
    std::map<RequestId, std::uint32_t> m_runningAttempts; ///< Attempts under way of each request that has any.
    std::set<RequestId> m_queued;
};

}
