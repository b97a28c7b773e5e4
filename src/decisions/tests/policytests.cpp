#include "decisions/idecisioncore.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr std::uint64_t Seed = 1;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

UpstreamListed engine(std::uint32_t id, std::uint32_t slots)
{
    UpstreamListed listed{};
    listed.upstream = static_cast<UpstreamId>(id);
    listed.targets = {TargetId{0}};
    listed.slots = slots;
    return listed;
}

RequestArrived arrival(std::uint64_t id, TrafficClass trafficClass, TimePoint now)
{
    RequestArrived arrived{};
    arrived.request = static_cast<RequestId>(id);
    arrived.trafficClass = trafficClass;
    arrived.deadline = now + std::chrono::minutes(4);
    if (trafficClass == TrafficClass::Question) {
        arrived.firstTokenDeadline = now + std::chrono::seconds(2);
    }
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

SCENARIO("Plans leave slots free for questions")
{
    GIVEN("an upstream with eight slots and ten plans")
    {
        const std::unique_ptr<IDecisionCore> core = makeDecisionCore({}, Seed);
        core->post(WorkspaceLimitsChanged{WorkspaceId{0}, 100, 100});
        core->post(engine(0, 8));
        for (std::uint64_t id = 1; id <= 10; ++id) {
            core->post(arrival(id, TrafficClass::Plan, at(0)));
        }
        THEN("plans use half of the slots and a question starts at once")
        {
            CHECK(only<StartAttempt>(core->tick(at(0))).size() == 4);
            core->post(arrival(11, TrafficClass::Question, at(1)));
            CHECK(only<StartAttempt>(core->tick(at(1))).size() == 1);
        }
    }
}

SCENARIO("A question whose first token is late gets a second attempt at another upstream")
{
    const std::unique_ptr<IDecisionCore> core = makeDecisionCore({}, Seed);
    core->post(WorkspaceLimitsChanged{WorkspaceId{0}, 100, 100});
    core->post(engine(0, 8));
    core->post(engine(1, 8));
    core->post(arrival(1, TrafficClass::Question, at(0)));
    const StartAttempt warmUp = only<StartAttempt>(core->tick(at(0))).at(0);
    core->post(AttemptProgressed{warmUp.attempt, 1});
    core->post(AttemptEnded{warmUp.attempt, AttemptOutcome::Completed});
    core->tick(at(100));

    GIVEN("a mean time to the first token of 100 ms and a question without a token after 300 ms")
    {
        core->post(arrival(2, TrafficClass::Question, at(200)));
        const StartAttempt first = only<StartAttempt>(core->tick(at(200))).at(0);
        CHECK(only<StartAttempt>(core->tick(at(499))).empty());
        const std::vector<StartAttempt> hedges = only<StartAttempt>(core->tick(at(500)));
        REQUIRE(hedges.size() == 1);
        CHECK(hedges[0].upstream != first.upstream);
        WHEN("the second attempt produces the first token")
        {
            core->post(AttemptProgressed{hedges[0].attempt, 1});
            const std::vector<CancelAttempt> cancelled = only<CancelAttempt>(core->tick(at(600)));
            THEN("the first attempt is cancelled and the second completes the request")
            {
                REQUIRE(cancelled.size() == 1);
                CHECK(cancelled[0].attempt == first.attempt);
                core->post(AttemptEnded{first.attempt, AttemptOutcome::Cancelled});
                core->post(AttemptEnded{hedges[0].attempt, AttemptOutcome::Completed});
                CHECK(only<CompleteRequest>(core->tick(at(700))).size() == 1);
                CHECK(core->openRequests() == 0);
            }
        }
    }
}

SCENARIO("A queued question is refused with a retry delay as soon as it can no longer start in time")
{
    const std::unique_ptr<IDecisionCore> core = makeDecisionCore({}, Seed);
    core->post(WorkspaceLimitsChanged{WorkspaceId{0}, 1, 10});
    core->post(engine(0, 8));
    core->post(arrival(1, TrafficClass::Question, at(0)));
    core->post(arrival(2, TrafficClass::Question, at(0)));
    CHECK(only<QueueRequest>(core->tick(at(0))).size() == 1);
    REQUIRE(core->nextWake() == at(2'000));
    const std::vector<RefuseRequest> refused = only<RefuseRequest>(core->tick(at(2'000)));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].request == RequestId{2});
    CHECK(refused[0].code == RefusalCode::Overloaded);
    CHECK(refused[0].run == RunState::NotRun);
    CHECK(refused[0].retryAfter >= std::chrono::seconds(1));
}
