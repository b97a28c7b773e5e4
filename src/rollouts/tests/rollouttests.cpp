#include "rollouts/rolloutcontroller.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::rollouts;
using namespace std::chrono_literals;

namespace {

constexpr ExposureBounds Bounds{0.1, 50, 5'000ms};
constexpr OrderId Id = orderId(1, 7);
constexpr TimePoint Start{1'000s};

const std::vector<ListedUpstream> BothVersions{
    {"models", "v1", "a", 32, true}, {"models", "v1", "b", 32, true}, {"models", "v2", "c", 32, true}, {"models", "v2", "d", 32, true}};

/// A roll-out of v2 that was ordered at Start, with upstreams of both versions.
Rollout orderedRollout(double slackPart = 0.4, double start = 0.5)
{
    Rollout rollout(Id, {"models", "v2", 12s}, Bounds, ExposureLimit(Bounds.share, slackPart, start), false);
    rollout.noteAge(0s, Start);
    rollout.observe(BothVersions);
    return rollout;
}

/// Sends one request as a host would at @p now. Returns whether it went to the version that is rolled out.
bool send(Rollout &rollout, const RequestTraits &traits, TimePoint now)
{
    const VersionFilter filter = rollout.filter(traits, true, now);
    if (filter.exposes) {
        rollout.noteExposed();
    }
    rollout.noteRequest();
    return filter.exposes;
}

/// Counts @p count good answers of a version.
void answer(Rollout &rollout, std::string_view version, int count, Duration time = 100ms)
{
    for (int number = 0; number < count; ++number) {
        rollout.noteAnswer(version, "plan", time);
    }
}

}

TEST_CASE("All hosts together expose a version within the bound, also when they hear nothing of each other's counts")
{
    constexpr std::size_t Hosts = 89;
    const RequestTraits traits = GENERATE(RequestTraits{}, RequestTraits{.lostWithUpstream = true}, RequestTraits{.othersUnreached = true});
    std::vector<Rollout> hosts;
    for (std::size_t host = 0; host < Hosts; ++host) {
        hosts.push_back(orderedRollout(0.8 * Bounds.slack / Hosts, static_cast<double>(host) / Hosts));
        hosts.back().applyState(State::Running, false, Start);
    }
    std::size_t requests = 0;
    std::size_t exposed = 0;
    for (TimePoint now = Start; now < Start + 12s; now += 2'500us) { // 400 a second
        Rollout &host = hosts[(requests * 7) % Hosts];
        host.noteHolder(1, now);
        const bool completed = now >= Start + 12s * (1 - ExposureLimit::CompletedPart * Bounds.share);
        exposed += send(host, traits, now) || completed ? 1 : 0;
        ++requests;
    }
    CHECK(static_cast<double>(exposed) <= Bounds.share * static_cast<double>(requests) + Bounds.slack);
    CHECK(exposed > 200); // Enough to see what the version does.
}

TEST_CASE("What a host sends to a version that is rolled out")
{
    Rollout rollout = orderedRollout(100, 1);
    SECTION("is nothing while no holder of the duties has said anything")
    {
        CHECK(!send(rollout, {}, Start + 1s));
        CHECK(rollout.filter({}, true, Start + 1s).without == std::vector<std::string>{"v2"});
    }
    rollout.applyState(State::Running, false, Start);
    rollout.noteHolder(3, Start + 1s);
    SECTION("is a trickle once the holder has begun")
    {
        CHECK(send(rollout, {}, Start + 1s));
        CHECK(!send(rollout, {}, Start + 1s));
    }
    SECTION("goes to few upstreams in the middle, so that they are loaded")
    {
        rollout.noteHolder(3, Start + 5s);
        CHECK(rollout.filter({}, true, Start + 5s).instances.size() == 2);
    }
    SECTION("begins near the end with the streams that would be lost with their upstream")
    {
        send(rollout, {}, Start + 1s);
        rollout.noteHolder(3, Start + 9s);
        CHECK(!send(rollout, {}, Start + 9s));
        CHECK(send(rollout, {.lostWithUpstream = true}, Start + 9s));
    }
    SECTION("may be a request whose other upstreams are gone when the outcome is due, as it may have been decided")
    {
        send(rollout, {}, Start + 1s);
        rollout.noteHolder(3, Start + 11'600ms);
        CHECK(!send(rollout, {.othersUnreached = true}, Start + 11s));
        CHECK(send(rollout, {.othersUnreached = true}, Start + 11'600ms));
    }
    SECTION("is nothing when the holder has not been heard for half of the time to roll back, or only one that was replaced")
    {
        rollout.noteHolder(2, Start + 4s);
        CHECK(!send(rollout, {}, Start + 4s));
    }
    SECTION("is not a stream that another version began, but may be one that it began itself")
    {
        CHECK(!rollout.filter({.continuedVersion = "v1"}, true, Start + 1s).exposes);
        CHECK(rollout.filter({.continuedVersion = "v2"}, true, Start + 1s).exposes);
    }
    SECTION("ends by itself when what other hosts have seen shows that it is bad, and nothing that was chosen is sent any more")
    {
        Evidence seen;
        seen.routes[1].rolledOut.failures = 6;
        seen.failedUpstreams = 3;
        rollout.applyEvidence("other", seen, Start);
        CHECK(rollout.evaluate());
        CHECK(!rollout.evaluate());
        CHECK(!send(rollout, {}, Start + 1s));
        CHECK(!rollout.maySend("v2", Start + 1s));
        CHECK(rollout.maySend("v1", Start + 1s));
    }
    SECTION("is nothing after a roll-back, also when no other upstream is left")
    {
        rollout.applyState(State::RolledBack, false, Start + 2s);
        rollout.observe(std::span(BothVersions).last(2));
        CHECK(!rollout.filter({}, false, Start + 2s).admits("v2", "c"));
    }
    SECTION("is everything after a completion that stands in the log")
    {
        rollout.applyState(State::Complete, false, Start + 2s);
        CHECK(rollout.state() == State::Running);
        rollout.applyState(State::Complete, true, Start + 2s);
        CHECK(rollout.filter({}, true, Start + 2s).only == "v2");
        CHECK(!rollout.filter({}, true, Start + 2s).exposes);
    }
}

TEST_CASE("An outcome is final, and the log decides which one it is")
{
    Rollout rollout = orderedRollout();
    rollout.applyState(State::RolledBack, false, Start);
    CHECK(!rollout.applyState(State::Running, false, Start));
    CHECK(rollout.applyState(State::Complete, true, Start));
    CHECK(!rollout.applyState(State::RolledBack, true, Start));
    CHECK(rollout.recorded());
    CHECK(!rollout.isSettled(Start));
    rollout.observe(std::span(BothVersions).last(2));
    CHECK(rollout.isSettled(Start));
}

TEST_CASE("The holder of the duties decides at the end of the order, or at once when the version is bad")
{
    Rollout rollout = orderedRollout();
    for (int number = 0; number < 4'000; ++number) {
        rollout.noteRequest();
    }
    answer(rollout, "v1", 1'000);
    answer(rollout, "v2", 40);
    CHECK(RolloutController::decide(rollout, 1, Start + 11s).state == State::Running);
    CHECK(RolloutController::decide(rollout, 1, Start + 11'700ms).state == State::Complete);

    SECTION("a bad version is rolled back at once")
    {
        for (int number = 0; number < 30; ++number) {
            rollout.noteFailure("v2", number % 2 == 0 ? "c" : "d", "plan");
        }
        CHECK(rollout.evaluate());
        CHECK(RolloutController::decide(rollout, 1, Start + 4s).state == State::RolledBack);
    }
    SECTION("in doubt the version is rolled back at the end of the order")
    {
        rollout.noteFailure("v2", "c", "plan");
        rollout.noteFailure("v2", "d", "plan");
        rollout.noteFailure("v2", "d", "plan");
        CHECK(RolloutController::decide(rollout, 1, Start + 11'700ms).state == State::Running);
        CHECK(RolloutController::decide(rollout, 1, Start + 12s).state == State::RolledBack);
    }
    SECTION("a version that was hardly tried is not completed")
    {
        Rollout untried = orderedRollout();
        for (int number = 0; number < 4'000; ++number) {
            untried.noteRequest();
        }
        CHECK(RolloutController::decide(untried, 1, Start + 11'700ms).state == State::Running);
        CHECK(RolloutController::decide(untried, 1, Start + 12s).state == State::RolledBack);
    }
    SECTION("a holder that is cut off from most hosts does not know what they have seen, and does not complete")
    {
        CHECK(RolloutController::decide(rollout, 4, Start + 11'700ms).state == State::Running);
        rollout.applyEvidence("second", {}, Start + 11'000ms);
        rollout.applyEvidence("third", {}, Start + 11'000ms);
        CHECK(RolloutController::decide(rollout, 4, Start + 11'700ms).state == State::Complete);
        CHECK(RolloutController::decide(rollout, 4, Start + 17s).state == State::Running);
    }
    SECTION("a version that never starts is rolled back")
    {
        rollout.observe(std::span(BothVersions).first(2));
        CHECK(RolloutController::decide(rollout, 1, Start + 11'700ms).state == State::RolledBack);
    }
    SECTION("a new holder that does not know the age of the order waits")
    {
        const Rollout unknown(Id, {"models", "v2", 12s}, Bounds, ExposureLimit(Bounds.share, 0, 0), false);
        CHECK(RolloutController::decide(unknown, 1, Start + 100s).state == State::Running);
    }
}
