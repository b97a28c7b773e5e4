#include "decisions/idecisioncore.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <malloc.h>

using namespace rosemaryshift;
using namespace rosemaryshift::decisions;

namespace {

constexpr TargetId Model{0};
constexpr std::uint32_t Workspaces = 10;
/// Virtual time between two ticks of the core.
constexpr Duration TickInterval = std::chrono::microseconds(100);
constexpr Duration Deadline = std::chrono::minutes(10);

/// A decision core with a constant number of running requests: each turn adds a request and completes the oldest one.
class SteadyCore
{
public:
    SteadyCore(const PolicySettings &settings, std::uint32_t upstreams, std::uint32_t inFlight)
        : m_core(makeDecisionCore(settings, 1))
    {
        for (std::uint32_t i = 0; i < Workspaces; ++i) {
            m_core->post(WorkspaceLimitsChanged{static_cast<WorkspaceId>(i), 2 * inFlight, inFlight});
        }
        for (std::uint32_t i = 0; i < upstreams; ++i) {
            UpstreamListed listed{};
            listed.upstream = static_cast<UpstreamId>(i);
            listed.targets = {Model};
            listed.slots = 2 * inFlight / upstreams + 8;
            m_core->post(listed);
        }
        tick();
        const std::size_t before = mallinfo2().uordblks;
        while (m_running.size() < inFlight) {
            arrive();
            tick();
        }
        m_bytes = static_cast<double>(mallinfo2().uordblks - before) / inFlight;
    }

    void turn()
    {
        arrive();
        tick();
        m_core->post(AttemptProgressed{m_running.front(), 1});
        tick();
        m_core->post(AttemptEnded{m_running.front(), AttemptOutcome::Completed});
        m_running.pop_front();
        tick();
    }

    [[nodiscard]] double bytesPerRequest() const
    {
        return m_bytes;
    }

private:
    void arrive()
    {
        RequestArrived spec{};
        spec.request = static_cast<RequestId>(++m_next);
        spec.workspace = static_cast<WorkspaceId>(m_next % Workspaces);
        spec.target = Model;
        spec.deadline = m_now + Deadline;
        spec.promptTokens = 100;
        spec.prefixHash = m_next % Workspaces;
        m_core->post(spec);
    }

    void tick()
    {
        m_now += TickInterval;
        for (const Action &action : m_core->tick(m_now)) {
            if (const StartAttempt *const start = std::get_if<StartAttempt>(&action)) {
                m_running.push_back(start->attempt);
            }
        }
    }

    std::unique_ptr<IDecisionCore> m_core;
    std::deque<AttemptId> m_running;
    TimePoint m_now;
    std::uint64_t m_next = 0;
    double m_bytes = 0;
};

void runTurns(benchmark::State &state, const PolicySettings &settings)
{
    SteadyCore core(settings, static_cast<std::uint32_t>(state.range(0)), static_cast<std::uint32_t>(state.range(1)));
    for ([[maybe_unused]] const auto unused : state) {
        core.turn();
    }
    state.counters["bytes_per_request"] = core.bytesPerRequest();
}

void requestThroughCore(benchmark::State &state)
{
    runTurns(state, {});
}

/// The least-in-flight baseline, which scans all upstreams for each request.
void requestThroughScan(benchmark::State &state)
{
    PolicySettings settings;
    settings.routing = RoutingPolicy::LeastInFlight;
    runTurns(state, settings);
}

}

BENCHMARK(requestThroughCore)->ArgNames({"upstreams", "in_flight"})->ArgsProduct({{10, 100, 400, 1'600}, {100, 1'000, 10'000}});
BENCHMARK(requestThroughScan)->ArgNames({"upstreams", "in_flight"})->ArgsProduct({{10, 100, 400, 1'600}, {1'000}});

BENCHMARK_MAIN();
