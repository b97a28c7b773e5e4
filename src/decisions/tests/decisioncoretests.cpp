#include "decisions/idecisioncore.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr WorkspaceId Workspace{0};
constexpr TargetId Model{0};

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

UpstreamListed engine(std::uint32_t id)
{
    UpstreamListed listed{};
    listed.upstream = static_cast<UpstreamId>(id);
    listed.targets = {Model};
    listed.slots = 2;
    return listed;
}

RequestArrived arrival(std::uint64_t id, bool idempotent = true)
{
    RequestArrived arrived{};
    arrived.request = static_cast<RequestId>(id);
    arrived.workspace = Workspace;
    arrived.target = Model;
    arrived.deadline = at(10'000);
    arrived.idempotent = idempotent;
    return arrived;
}

template <typename T>
std::vector<T> only(std::span<const Action> actions)
{
    std::vector<T> found;
    for (const Action &action : actions) {
        if (const T *const typed = std::get_if<T>(&action)) {
            found.push_back(*typed);
        }
    }
    return found;
}

}

SCENARIO("Every request gets exactly one final answer")
{
    const std::unique_ptr<IDecisionCore> core = makeDecisionCore({}, 1);
    core->post(WorkspaceLimitsChanged{Workspace, 2, 1});
    core->post(engine(0));
    core->post(engine(1));
    core->tick(at(0));

    GIVEN("a request with a running attempt")
    {
        core->post(arrival(1));
        const std::vector<StartAttempt> started = only<StartAttempt>(core->tick(at(1)));
        REQUIRE(started.size() == 1);

        WHEN("the attempt completes")
        {
            core->post(AttemptEnded{started[0].attempt, AttemptOutcome::Completed});
            THEN("the request is completed and no longer open")
            {
                CHECK(only<CompleteRequest>(core->tick(at(2))).size() == 1);
                CHECK(core->openRequests() == 0);
            }
        }
        WHEN("the connection to the upstream breaks")
        {
            core->post(AttemptEnded{started[0].attempt, AttemptOutcome::Broken});
            const std::vector<StartAttempt> again = only<StartAttempt>(core->tick(at(2)));
            THEN("the request is retried at the other upstream")
            {
                REQUIRE(again.size() == 1);
                CHECK(again[0].upstream != started[0].upstream);
                CHECK(again[0].reason.retry);
            }
        }
        WHEN("the deadline passes, after which the request is no longer open")
        {
            const std::vector<Action> actions(core->tick(at(10'000)).begin(), core->tick(at(10'000)).end());
            CHECK(core->openRequests() == 0);
        }
    }
    GIVEN("a non-idempotent request whose connection broke")
    {
        core->post(arrival(1, false));
        const std::vector<StartAttempt> started = only<StartAttempt>(core->tick(at(1)));
        core->post(AttemptEnded{started.at(0).attempt, AttemptOutcome::Broken});
        const std::span<const Action> actions = core->tick(at(2));
        THEN("it is refused with an unknown outcome and not retried")
        {
            CHECK(only<StartAttempt>(actions).empty());
            REQUIRE(only<RefuseRequest>(actions).size() == 1);
            CHECK(only<RefuseRequest>(actions)[0].code == RefusalCode::OutcomeUnknown);
            CHECK(only<RefuseRequest>(actions)[0].run == RunState::Unknown);
        }
    }
    GIVEN("one request more than the workspace may have in flight and queued")
    {
        for (std::uint64_t id = 1; id <= 4; ++id) {
            core->post(arrival(id));
        }
        const std::span<const Action> actions = core->tick(at(1));
        THEN("two requests run, one is queued and one is refused as not run")
        {
            CHECK(only<StartAttempt>(actions).size() == 2);
            CHECK(only<QueueRequest>(actions).size() == 1);
            REQUIRE(only<RefuseRequest>(actions).size() == 1);
            CHECK(only<RefuseRequest>(actions)[0].code == RefusalCode::OverLimit);
            CHECK(only<RefuseRequest>(actions)[0].run == RunState::NotRun);
        }
    }
    GIVEN("a running and a queued request whose target is removed from the workspace's targets")
    {
        core->post(WorkspaceLimitsChanged{Workspace, 1, 1});
        core->post(arrival(1));
        core->tick(at(1));
        core->post(arrival(2));
        core->tick(at(2));
        core->post(WorkspaceTargetsChanged{Workspace, {TargetId{7}}});
        const std::span<const Action> actions = core->tick(at(3));
        THEN("the queued request is refused as not run, and the running one continues")
        {
            CHECK(only<CancelAttempt>(actions).empty());
            REQUIRE(only<RefuseRequest>(actions).size() == 1);
            CHECK(only<RefuseRequest>(actions)[0].request == RequestId{2});
            CHECK(only<RefuseRequest>(actions)[0].code == RefusalCode::RouteWithdrawn);
            CHECK(only<RefuseRequest>(actions)[0].run == RunState::NotRun);
            CHECK(core->openRequests() == 1);
        }
    }
    GIVEN("only upstreams that are leaving")
    {
        core->post(UpstreamLeaving{static_cast<UpstreamId>(0), at(5'000)});
        core->post(UpstreamLeaving{static_cast<UpstreamId>(1), at(5'000)});
        core->post(arrival(1));
        THEN("a new request is refused because there is no live upstream")
        {
            const std::span<const Action> actions = core->tick(at(1));
            REQUIRE(only<RefuseRequest>(actions).size() == 1);
            CHECK(only<RefuseRequest>(actions)[0].code == RefusalCode::NoUpstream);
        }
    }
}

// Guards against requests that a host has accepted and refuses with host_stopping, since it began to stop before it had looked at them.
SCENARIO("A host that stops serves the requests that arrived before")
{
    const std::unique_ptr<IDecisionCore> core = makeDecisionCore({}, 1);
    core->post(WorkspaceLimitsChanged{Workspace, 1, 2});
    core->post(engine(0));
    core->tick(at(0));

    GIVEN("two requests, one of which has to wait, and a stop that is handled in the same turn")
    {
        core->post(arrival(1));
        core->post(arrival(2));
        core->post(HostStopping{});
        const std::span<const Action> actions = core->tick(at(1));
        CHECK(only<RefuseRequest>(actions).empty());
        const std::vector<StartAttempt> started = only<StartAttempt>(actions);
        REQUIRE(started.size() == 1);

        THEN("the one that waits is started when the other is completed")
        {
            core->post(AttemptEnded{started[0].attempt, AttemptOutcome::Completed});
            CHECK(only<StartAttempt>(core->tick(at(2))).size() == 1);
        }
        THEN("a request that arrives later is refused")
        {
            core->post(arrival(3));
            const std::vector<RefuseRequest> refused = only<RefuseRequest>(core->tick(at(2)));
            REQUIRE(refused.size() == 1);
            CHECK(refused[0].code == RefusalCode::HostStopping);
        }
    }
    GIVEN("a request that arrives after the stop in the same turn")
    {
        core->post(HostStopping{});
        core->post(arrival(1));
        const std::vector<RefuseRequest> refused = only<RefuseRequest>(core->tick(at(1)));
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].code == RefusalCode::HostStopping);
    }
}
