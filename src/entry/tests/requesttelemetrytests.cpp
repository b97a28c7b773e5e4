#include "entry/internal/requesttelemetry.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::entry;
using timeline::EventKind;
using timeline::TimelineEvent;

namespace {

requests::RequestSpec questionSpec()
{
    requests::RequestSpec spec;
    spec.workspace = "yard";
    spec.target = "yard-small";
    spec.body = "secret words";
    spec.idempotencyKey = "secret key";
    return spec;
}

std::vector<EventKind> kindsOf(const timeline::ITimeline &timeline)
{
    std::vector<EventKind> kinds;
    for (const TimelineEvent &event : timeline.since({})) {
        kinds.push_back(event.kind);
    }
    return kinds;
}

}

SCENARIO("The lifecycle of a request is recorded in the event timeline and the metrics")
{
    const std::shared_ptr<timeline::ITimeline> timeline = timeline::makeTimeline(timeline::makeHybridClock(), "entry-1", "1", 100);
    const std::shared_ptr<metrics::IMetrics> metrics = metrics::makeMetrics();
    requests::RequestRegistry registry("entry-1.1", {});
    RequestTelemetry telemetry(timeline, metrics);
    const std::shared_ptr<requests::RequestRecord> record = registry.add(questionSpec());
    const std::string queued = "rosemaryshift_queued_requests{workspace=\"yard\",class=\"question\"} ";
    telemetry.arrived(*record);
    GIVEN("a queued request")
    {
        telemetry.queued(*record, 2);
        CHECK_THAT(metrics->text(), Catch::Contains(queued + "1\n"));
        WHEN("the queued request is refused")
        {
            telemetry.refused(*record, "deadline_passed", RunState::NotRun);
            THEN("the request is no longer counted as queued, and its refusal is counted")
            {
                CHECK_THAT(metrics->text(), Catch::Contains(queued + "0\n"));
                CHECK_THAT(metrics->text(), Catch::Contains("rosemaryshift_refusals_total{code=\"deadline_passed\"} 1\n"));
            }
        }
    }
    GIVEN("a request with a running attempt")
    {
        telemetry.routed(record, AttemptId{1}, "engine-1", {});
        WHEN("a second attempt starts before the first has ended")
        {
            telemetry.routed(record, AttemptId{2}, "engine-2", {});
            telemetry.attemptCancelled(AttemptId{1});
            telemetry.attemptEnded(AttemptId{1}, {decisions::AttemptOutcome::Cancelled, "hedged"});
            telemetry.attemptEnded(AttemptId{2}, {decisions::AttemptOutcome::Completed, "stop"});
            telemetry.completed(*record, AttemptId{2});
            THEN("the second attempt is recorded as a hedge, and every event names the request without its body or key")
            {
                CHECK(kindsOf(*timeline)
                      == std::vector{EventKind::RequestAccepted,
                                     EventKind::RequestRouted,
                                     EventKind::RequestHedged,
                                     EventKind::AttemptCancelled,
                                     EventKind::AttemptEnded,
                                     EventKind::AttemptEnded,
                                     EventKind::RequestCompleted});
                for (const TimelineEvent &event : timeline->since({})) {
                    CHECK(event.fields.request == record->id);
                    CHECK(event.fields.detail.find("secret") == std::string::npos);
                }
            }
        }
        WHEN("the second attempt starts after the first has ended")
        {
            telemetry.attemptEnded(AttemptId{1}, {decisions::AttemptOutcome::Broken, "closed"});
            decisions::RouteReason reason{};
            reason.retry = true;
            telemetry.routed(record, AttemptId{2}, "engine-2", reason);
            THEN("the second attempt is recorded as routed")
            {
                CHECK(kindsOf(*timeline).back() == EventKind::RequestRouted);
            }
        }
    }
}
