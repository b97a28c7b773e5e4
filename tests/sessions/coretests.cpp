#include "base/text.h"
#include "decisions/idecisioncore.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

#include <string>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;
using namespace rosemaryshift::testing;

namespace {

constexpr std::uint64_t Seed = 1;
constexpr WorkspaceId Workspace{0};
constexpr TargetId Model{0};
constexpr TargetId Service{1};

template <typename Id>
std::string number(Id id)
{
    return std::to_string(static_cast<std::uint64_t>(id));
}

std::string text(const StartAttempt &action)
{
    return "start request " + number(action.request) + " attempt " + number(action.attempt) + " at upstream " + number(action.upstream)
        + (action.reason.retry ? ", a retry" : "");
}

std::string text(const CancelAttempt &action)
{
    return "cancel request " + number(action.request) + " attempt " + number(action.attempt);
}

std::string text(const RefuseRequest &action)
{
    const std::int64_t retryAfterMs = std::chrono::duration_cast<std::chrono::milliseconds>(action.retryAfter).count();
    return "refuse request " + number(action.request) + ": " + std::string(name(action.code)) + ", " + std::string(name(action.run)) + ", retry after "
        + std::to_string(retryAfterMs) + " ms";
}

std::string text(const QueueRequest &action)
{
    return "queue request " + number(action.request) + " behind " + std::to_string(action.ahead);
}

std::string text(const CompleteRequest &action)
{
    return "complete request " + number(action.request) + " by attempt " + number(action.attempt);
}

/// A decision core whose events and actions are recorded with their times for comparison with a golden file.
class RecordedCore
{
public:
    /// Posts an event at @p ms milliseconds, runs a tick and records both. Precondition: times do not decrease.
    void postAt(int ms, const std::string &what, Event event)
    {
        m_golden.addLine("at " + std::to_string(ms) + " ms > " + what);
        m_core->post(std::move(event));
        for (const Action &action : m_core->tick(time(ms))) {
            const std::string line = std::visit([](const auto &typed) { return text(typed); }, action);
            m_golden.addLine("at " + std::to_string(ms) + " ms < " + line);
        }
    }

    void postArrival(int ms, std::uint64_t id, TrafficClass trafficClass, const TargetId &target)
    {
        RequestArrived event{};
        event.request = static_cast<RequestId>(id);
        event.workspace = Workspace;
        event.trafficClass = trafficClass;
        event.target = target;
        event.deadline = time(ms + 10'000);
        event.promptTokens = 10;
        event.expectedTokens = 20;
        event.idempotent = trafficClass != TrafficClass::Booking;
        postAt(ms, "request " + std::to_string(id) + " arrives: " + std::string(name(trafficClass)), event);
    }

    void postAttemptEnd(int ms, std::uint64_t attempt, AttemptOutcome outcome)
    {
        postAt(ms, "attempt " + std::to_string(attempt) + " ends: " + std::string(name(outcome)), AttemptEnded{static_cast<AttemptId>(attempt), outcome});
    }

    void postListing(std::uint32_t id, const TargetId &target)
    {
        UpstreamListed event{};
        event.upstream = static_cast<UpstreamId>(id);
        event.targets = {target};
        event.slots = 4;
        postAt(0, "upstream " + std::to_string(id) + " is listed for target " + number(target), event);
    }

    void compare()
    {
        m_golden.compare();
    }

    static TimePoint time(int ms)
    {
        return TimePoint(std::chrono::milliseconds(ms));
    }

private:
    const std::unique_ptr<IDecisionCore> m_core = makeDecisionCore({}, Seed);
    GoldenSession m_golden{"core"};
};

}

SCENARIO("The decision core turns a sequence of timed events into the actions of the golden file")
{
    RecordedCore core;
    core.postAt(0, "workspace 0 may have 3 in flight and 1 queued", WorkspaceLimitsChanged{Workspace, 3, 1});
    core.postListing(0, Model);
    core.postListing(1, Model);
    core.postListing(2, Service);
    core.postArrival(10, 1, TrafficClass::Question, Model);
    core.postArrival(20, 2, TrafficClass::Plan, Model);
    core.postArrival(30, 3, TrafficClass::Booking, Service);
    core.postArrival(40, 4, TrafficClass::Question, Model);
    core.postArrival(50, 5, TrafficClass::Question, Model);
    core.postAt(60, "attempt 1 gives its first token", AttemptProgressed{AttemptId{1}, 1});
    core.postAttemptEnd(70, 1, AttemptOutcome::Completed);
    core.postAttemptEnd(80, 2, AttemptOutcome::Broken);
    core.postAttemptEnd(90, 3, AttemptOutcome::Broken);
    core.postAt(100, "the caller of request 4 leaves", CallerDisconnected{RequestId{4}});
    core.postAt(110, "upstream 0 is leaving", UpstreamLeaving{UpstreamId{0}, RecordedCore::time(5'000)});
    core.postArrival(120, 6, TrafficClass::Question, Model);
    core.postAt(130, "the host stops", HostStopping{});
    core.postArrival(140, 7, TrafficClass::Question, Model);
    core.postAt(20'000, "upstream 0 is gone, and all deadlines are past", UpstreamGone{UpstreamId{0}});
    core.compare();
}
