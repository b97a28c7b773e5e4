#include "decisions/idecisioncore.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr WorkspaceId Workspace{0};
constexpr TargetId Model{0};
constexpr RequestId Request{1};
constexpr std::uint32_t ExpectedTokens = 100;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

/// Drives a core with two upstreams and one running request in virtual time.
class SingleRequestCore
{
public:
    SingleRequestCore()
    {
        m_core->post(WorkspaceLimitsChanged{Workspace, 2, 1});
        list(0);
        list(1);
        RequestArrived arrived{};
        arrived.request = Request;
        arrived.workspace = Workspace;
        arrived.target = Model;
        arrived.deadline = at(60'000);
        arrived.expectedTokens = ExpectedTokens;
        m_core->post(arrived);
        tick(0);
        REQUIRE(m_started);
    }

    void list(std::uint32_t upstream)
    {
        UpstreamListed listed{};
        listed.upstream = static_cast<UpstreamId>(upstream);
        listed.targets = {Model};
        listed.slots = 2;
        m_core->post(listed);
    }

    /// Replaces an upstream by a new one with the same id.
    void replace(std::uint32_t upstream)
    {
        m_core->post(UpstreamGone{static_cast<UpstreamId>(upstream)});
        list(upstream);
    }

    void tick(int ms)
    {
        m_cancelled.reset();
        for (const Action &action : m_core->tick(at(ms))) {
            if (const StartAttempt *const start = std::get_if<StartAttempt>(&action)) {
                m_started = *start;
            } else if (const CancelAttempt *const cancel = std::get_if<CancelAttempt>(&action)) {
                m_cancelled = *cancel;
            } else if (const RefuseRequest *const refuse = std::get_if<RefuseRequest>(&action)) {
                m_refused = *refuse;
            }
        }
    }

    void progress(std::uint32_t tokens, int ms)
    {
        m_core->post(AttemptProgressed{m_started->attempt, tokens});
        tick(ms);
    }

    void end(AttemptOutcome outcome, int ms)
    {
        m_core->post(AttemptEnded{m_started->attempt, outcome});
        tick(ms);
    }

    void leave(int goneAtMs, int ms)
    {
        m_core->post(UpstreamLeaving{m_started->upstream, at(goneAtMs)});
        tick(ms);
    }

    [[nodiscard]] const StartAttempt &started() const
    {
        return *m_started;
    }

    [[nodiscard]] bool cancelled() const
    {
        return m_cancelled.has_value();
    }

    [[nodiscard]] bool refused() const
    {
        return m_refused.has_value();
    }

    [[nodiscard]] std::optional<TimePoint> nextWake() const
    {
        return m_core->nextWake();
    }

private:
    const std::unique_ptr<IDecisionCore> m_core = makeDecisionCore({}, 1);
    std::optional<StartAttempt> m_started;
    std::optional<CancelAttempt> m_cancelled;
    std::optional<RefuseRequest> m_refused;
};

}

SCENARIO("After a progress timeout a new connection to the same upstream is tried first")
{
    SingleRequestCore core;
    const StartAttempt first = core.started();
    core.progress(10, 100);
    core.end(AttemptOutcome::Silent, 5'000);
    REQUIRE(core.started().attempt != first.attempt);
    CHECK(core.started().upstream == first.upstream);
    CHECK(core.started().reason.reconnect);

    WHEN("the new connection times out without any token")
    {
        core.end(AttemptOutcome::Silent, 10'000);
        THEN("the request continues at another upstream")
        {
            CHECK(core.started().upstream != first.upstream);
        }
    }
    WHEN("the new connection cannot be established")
    {
        core.end(AttemptOutcome::NotOffered, 6'000);
        THEN("the request continues at another upstream")
        {
            CHECK(core.started().upstream != first.upstream);
        }
    }
    WHEN("new connections time out repeatedly, but each produces a token")
    {
        for (int i = 0; i < 6; ++i) {
            core.progress(1, 6'000 + i * 1'000);
            core.end(AttemptOutcome::Silent, 6'500 + i * 1'000);
        }
        THEN("the request stays at the same upstream and is not refused")
        {
            CHECK(core.started().upstream == first.upstream);
            CHECK_FALSE(core.refused());
        }
    }
    WHEN("the upstream is leaving before the new connection times out")
    {
        core.progress(1, 5'500);
        core.leave(60'000, 5'600);
        core.end(AttemptOutcome::Silent, 10'000);
        THEN("the request continues at another upstream")
        {
            CHECK(core.started().upstream != first.upstream);
        }
    }
}

SCENARIO("A request on a leaving upstream is moved unless it can finish there in time")
{
    SingleRequestCore core;
    const StartAttempt first = core.started();

    GIVEN("a generation speed at which the request finishes in time")
    {
        core.progress(50, 1'000);
        core.leave(5'000, 1'000);
        CHECK_FALSE(core.cancelled());
        CHECK(core.nextWake() == at(4'000));
        WHEN("generation stalls and the upstream is nearly gone")
        {
            core.tick(4'000);
            REQUIRE(core.cancelled());
            core.end(AttemptOutcome::Cancelled, 4'001);
            THEN("the request continues at another upstream")
            {
                CHECK(core.started().attempt != first.attempt);
                CHECK(core.started().upstream != first.upstream);
            }
        }
    }
    GIVEN("a generation speed at which the request cannot finish in time")
    {
        core.progress(10, 1'000);
        WHEN("the upstream announces that it is leaving")
        {
            core.leave(5'000, 1'000);
            THEN("the attempt is cancelled at once, so that no more work is wasted")
            {
                CHECK(core.cancelled());
            }
        }
    }
    GIVEN("a request whose upstreams leave one after the other")
    {
        for (int i = 0; i < 6; ++i) {
            const std::uint32_t other = 1 - static_cast<std::uint32_t>(core.started().upstream);
            core.replace(other);
            core.leave(i * 100 + 500, i * 100);
            core.end(AttemptOutcome::Cancelled, i * 100 + 1);
        }
        THEN("moves do not count as failed attempts")
        {
            CHECK_FALSE(core.refused());
        }
    }
}
