#include "decisions/idecisioncore.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr WorkspaceId Workspace{0};
constexpr TargetId Service{0};
constexpr std::uint64_t Deadly = 0xdead;
constexpr int Upstreams = 3;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

/// A decision core before three upstreams of one service, whose attempts end as soon as they start.
class Host
{
public:
    Host()
    {
        m_core->post(WorkspaceLimitsChanged{Workspace, 100, 100});
        for (std::uint32_t id = 0; id < Upstreams; ++id) {
            UpstreamListed listed{};
            listed.upstream = static_cast<UpstreamId>(id);
            listed.name = "service-" + std::to_string(id);
            listed.targets = {Service};
            listed.slots = 8;
            m_core->post(std::move(listed));
        }
        m_core->tick(at(0));
    }

    /// Sends a request, whose attempts all lose their connection if @p crashes is set and are answered otherwise. Returns its refusal; nothing
    /// when it was answered.
    std::optional<RefuseRequest> send(std::uint64_t fingerprint, bool crashes, int ms)
    {
        RequestArrived arrived{};
        arrived.request = static_cast<RequestId>(++m_lastRequest);
        arrived.workspace = Workspace;
        arrived.target = Service;
        arrived.targetName = "dispatch";
        arrived.fingerprint = fingerprint;
        arrived.trafficClass = TrafficClass::Lookup;
        arrived.deadline = at(ms + 10'000);
        m_core->post(std::move(arrived));
        while (true) {
            const std::span<const Action> actions = m_core->tick(at(ms));
            const std::vector<Action> taken(actions.begin(), actions.end());
            for (const Action &action : taken) {
                if (const RefuseRequest *const refusal = std::get_if<RefuseRequest>(&action)) {
                    return *refusal;
                }
                if (std::holds_alternative<CompleteRequest>(action)) {
                    return std::nullopt;
                }
                if (const StartAttempt *const started = std::get_if<StartAttempt>(&action)) {
                    ++m_attempts;
                    m_core->post(AttemptEnded{started->attempt, crashes ? AttemptOutcome::Broken : AttemptOutcome::Completed, crashes});
                }
            }
        }
    }

    /// Number of attempts started so far.
    [[nodiscard]] int attempts() const
    {
        return m_attempts;
    }

    IDecisionCore &core()
    {
        return *m_core;
    }

private:
    const std::unique_ptr<IDecisionCore> m_core = makeDecisionCore({}, 1);
    std::uint64_t m_lastRequest = 0;
    int m_attempts = 0;
};

/// Time between the repetitions of a request.
constexpr int RepeatMs = 400;
/// Time within which a request that has crashed three upstreams must no longer reach them.
constexpr int ContactMs = 3'000;

}

// Guards against a request that is repeated crashing one upstream after the other: failures were kept by upstream and by attempt of one request only.
SCENARIO("A request that crashes the upstreams that run it is refused when it is repeated")
{
    Host host;
    std::uint64_t sound = 1;
    for (int ms = 0; ms <= ContactMs; ms += RepeatMs) {
        host.send(Deadly, true, ms);
        host.send(++sound, false, ms + RepeatMs / 2);
    }

    THEN("it does not reach an upstream any more, and the refusal says that it did not run and when it may be repeated")
    {
        const int before = host.attempts();
        const std::optional<RefuseRequest> refusal = host.send(Deadly, true, ContactMs + RepeatMs);
        REQUIRE(refusal);
        CHECK(refusal->code == RefusalCode::Quarantined);
        CHECK(refusal->run == RunState::NotRun);
        CHECK(refusal->retryAfter > std::chrono::seconds(1));
        CHECK(host.attempts() == before);
    }
    THEN("other requests are served")
    {
        CHECK(!host.send(++sound, false, ContactMs + RepeatMs));
    }
    WHEN("another host hears of it")
    {
        Host other;
        other.core().tick(at(ContactMs));
        other.core().post(SuspectsReported{host.core().suspectReports(at(ContactMs + RepeatMs))});
        other.core().tick(at(ContactMs + RepeatMs));
        THEN("that host refuses it as well")
        {
            CHECK(other.send(Deadly, true, ContactMs + 2 * RepeatMs));
            CHECK(other.attempts() == 0);
        }
    }
    WHEN("it is answered when it is tried again")
    {
        const int trial = ContactMs + 40'000;
        CHECK(!host.send(Deadly, false, trial));
        THEN("it is served from then on")
        {
            CHECK(!host.send(Deadly, false, trial + RepeatMs));
        }
    }
}

// Guards against refusing a request because it was in progress when upstreams crashed for another reason.
SCENARIO("An equal request that is answered between crashes is not refused")
{
    Host host;
    for (int ms = 0; ms < 20 * RepeatMs; ms += RepeatMs) {
        const std::optional<RefuseRequest> refusal = host.send(Deadly, ms / RepeatMs % 2 == 0, ms);
        CHECK((!refusal || refusal->code != RefusalCode::Quarantined));
    }
}
