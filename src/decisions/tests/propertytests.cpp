#include "decisions/idecisioncore.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr std::uint32_t Upstreams = 6;
constexpr std::uint32_t Workspaces = 3;
constexpr std::uint32_t MaxInFlight = 5;
constexpr std::uint32_t MaxQueued = 7;
constexpr int Steps = 4'000;
constexpr Duration Deadline = std::chrono::seconds(8);

/// What the test knows of an open request.
struct TrackedRequest {
    RequestArrived spec;
    std::uint32_t running = 0;
    std::uint32_t started = 0;
    bool mayHaveRun = false;
    bool disconnected = false;
    bool admitted = false;
};

/// Posts random events to a core and checks every action against the tracked requests and attempts.
class RandomSession
{
public:
    explicit RandomSession(std::uint64_t seed)
        : m_random(seed)
        , m_core(makeDecisionCore({}, seed))
    {
        for (std::uint32_t i = 0; i < Workspaces; ++i) {
            m_core->post(WorkspaceLimitsChanged{static_cast<WorkspaceId>(i), MaxInFlight, MaxQueued});
        }
        for (std::uint32_t i = 0; i < Upstreams; ++i) {
            list(i);
        }
    }

    void run()
    {
        for (int i = 0; i < Steps; ++i) {
            m_now += Duration(m_random() % 20'000);
            postRandomEvent();
            tick();
        }
        while (m_core->openRequests() > 0) {
            REQUIRE(m_core->nextWake());
            m_now = std::max(m_now, *m_core->nextWake());
            tick();
        }
        for (const auto &[id, request] : m_open) {
            CHECK(request.disconnected);
        }
    }

private:
    void list(std::uint32_t id)
    {
        UpstreamListed listed{};
        listed.upstream = static_cast<UpstreamId>(id);
        listed.sameZone = id % 2 == 0;
        listed.targets = {TargetId{0}};
        listed.slots = 1 + id;
        m_leaving.erase(listed.upstream);
        m_core->post(listed);
    }

    void postRandomEvent()
    {
        const UpstreamId upstream = static_cast<UpstreamId>(m_random() % Upstreams);
        switch (m_random() % 12) {
        case 0:
            m_core->post(UpstreamLeaving{upstream, m_now + std::chrono::seconds(1)});
            m_leaving.insert(upstream);
            break;
        case 1:
            m_core->post(UpstreamGone{upstream});
            m_leaving.insert(upstream);
            break;
        case 2:
            list(static_cast<std::uint32_t>(upstream));
            m_core->post(UpstreamGone{upstream});
            list(static_cast<std::uint32_t>(upstream));
            break;
        case 3:
            m_core->post(UpstreamReported{upstream, static_cast<std::uint32_t>(m_random() % 6), 0, m_now});
            break;
        case 4:
            disconnectCaller();
            break;
        case 5:
        case 6:
        case 7:
            arrive();
            break;
        default:
            changeAttempt();
        }
    }

    void arrive()
    {
        RequestArrived spec{};
        spec.request = static_cast<RequestId>(m_next++);
        spec.workspace = static_cast<WorkspaceId>(m_random() % Workspaces);
        spec.trafficClass = static_cast<TrafficClass>(m_random() % TrafficClassCount);
        spec.idempotent = spec.trafficClass != TrafficClass::Booking;
        spec.deadline = m_now + Deadline;
        spec.prefixHash = m_random() % 3;
        m_open[spec.request].spec = spec;
        m_core->post(spec);
    }

    void disconnectCaller()
    {
        if (m_open.empty()) {
            return;
        }
        TrackedRequest &request = std::next(m_open.begin(), static_cast<std::ptrdiff_t>(m_random() % m_open.size()))->second;
        request.disconnected = request.spec.idempotent;
        if (request.admitted && request.disconnected) {
            request.admitted = false;
            --m_inFlight[request.spec.workspace];
        }
        m_core->post(CallerDisconnected{request.spec.request});
    }

    void changeAttempt()
    {
        if (m_attempts.empty()) {
            return;
        }
        const auto found = std::next(m_attempts.begin(), static_cast<std::ptrdiff_t>(m_random() % m_attempts.size()));
        if (m_random() % 2 == 0) {
            m_core->post(AttemptProgressed{found->first, 1});
            return;
        }
        end(found->first, static_cast<AttemptOutcome>(m_random() % 5));
    }

    void end(AttemptId attempt, AttemptOutcome outcome)
    {
        const auto request = m_open.find(m_attempts.at(attempt));
        if (request != m_open.end()) {
            --request->second.running;
            request->second.mayHaveRun = request->second.mayHaveRun || outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Silent;
        }
        m_attempts.erase(attempt);
        m_core->post(AttemptEnded{attempt, outcome});
    }

    void tick()
    {
        std::vector<AttemptId> cancelled;
        for (const Action &action : m_core->tick(m_now)) {
            if (const CancelAttempt *const cancel = std::get_if<CancelAttempt>(&action)) {
                cancelled.push_back(cancel->attempt);
            }
            std::visit([this](const auto &typed) { check(typed); }, action);
        }
        for (const AttemptId attempt : cancelled) {
            if (m_attempts.contains(attempt)) {
                end(attempt, AttemptOutcome::Cancelled);
            }
        }
    }

    void check(const StartAttempt &action)
    {
        TrackedRequest &request = m_open.at(action.request);
        INFO("request " << static_cast<std::uint64_t>(action.request));
        CHECK_FALSE(m_leaving.contains(action.upstream));
        CHECK_FALSE(request.disconnected);
        if (!request.spec.idempotent) {
            CHECK(request.running == 0);
            CHECK_FALSE(request.mayHaveRun);
        }
        CHECK(++request.running <= 2);
        if (!request.admitted) {
            request.admitted = true;
            CHECK(++m_inFlight[request.spec.workspace] <= MaxInFlight);
        }
        ++request.started;
        m_attempts[action.attempt] = action.request;
    }

    void check(const RefuseRequest &action)
    {
        const TrackedRequest &request = m_open.at(action.request);
        if (action.run == RunState::NotRun) {
            CHECK(request.running == 0);
            CHECK_FALSE(request.mayHaveRun);
        }
        finish(action.request);
    }

    void check(const CompleteRequest &action)
    {
        finish(action.request);
    }

    void check(const CancelAttempt &)
    {
    }

    void check(const QueueRequest &action)
    {
        CHECK(action.ahead < MaxInFlight + MaxQueued);
    }

    void finish(RequestId id)
    {
        REQUIRE(m_open.contains(id));
        const TrackedRequest &request = m_open.at(id);
        CHECK_FALSE(request.disconnected);
        if (request.admitted) {
            --m_inFlight[request.spec.workspace];
        }
        m_open.erase(id);
    }

    std::mt19937_64 m_random;
    std::unique_ptr<IDecisionCore> m_core;
    TimePoint m_now;
    std::uint64_t m_next = 1;
    std::map<RequestId, TrackedRequest> m_open;
    std::map<AttemptId, RequestId> m_attempts;
    std::map<WorkspaceId, std::uint32_t> m_inFlight;
    std::set<UpstreamId> m_leaving;
};

}

SCENARIO("For random sequences of events each request ends once, limits hold, and non-idempotent requests that may have run are not repeated")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        RandomSession session(seed);
        session.run();
    }
}
