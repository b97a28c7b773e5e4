#include "decisions/internal/decisioncore.h"

#include "decisions/internal/baselinechoosers.h"
#include "decisions/internal/estimatedfinishchooser.h"
#include "decisions/internal/firstcomesystem.h"
#include "decisions/internal/hedgesystem.h"
#include "decisions/internal/leastinflightchooser.h"
#include "decisions/internal/movesystem.h"
#include "decisions/internal/observations.h"
#include "decisions/internal/reconnectsystem.h"
#include "decisions/internal/retrysystem.h"
#include "decisions/internal/suspects.h"
#include "decisions/internal/systems.h"

#include <algorithm>
#include <utility>

namespace rosemaryshift::decisions {

DecisionCore::DecisionCore(const PolicySettings &settings, std::vector<std::unique_ptr<ISystem>> systems)
    : m_settings(settings)
    , m_systems(std::move(systems))
{
}

void DecisionCore::post(Event event)
{
    m_inbox.push_back(std::move(event));
}

std::span<const Action> DecisionCore::tick(TimePoint now)
{
    m_actions.clear();
    m_now = now;
    for (const Event &event : m_inbox) {
        std::visit([this](const auto &typed) { apply(typed); }, event);
    }
    m_inbox.clear();
    m_tables.quarantine.update(now);
    TickContext context{now, m_actions};
    for (const std::unique_ptr<ISystem> &system : m_systems) {
        system->run(m_tables, context);
    }
    return m_actions;
}

std::optional<TimePoint> DecisionCore::nextWake() const
{
    std::optional<TimePoint> earliest = nextMove(m_tables, m_settings, m_now);
    if (!m_tables.timers.empty()) {
        const TimePoint timer = m_tables.timers.begin()->first;
        earliest = std::min(earliest.value_or(timer), timer);
    }
    return earliest;
}

std::vector<quarantine::SuspectReport> DecisionCore::suspectReports(TimePoint now) const
{
    return m_tables.quarantine.reports(now);
}

std::size_t DecisionCore::openRequests() const
{
    return m_tables.requests.size();
}

void DecisionCore::apply(const UpstreamListed &event)
{
    UpstreamRow &row = m_tables.upstream(event.upstream);
    row.state = UpstreamState::Unlisted;
    m_tables.reindex(event.upstream);
    row.name = event.name;
    row.zone = event.zone;
    row.sameZone = event.sameZone;
    row.targets = event.targets;
    row.slots = event.slots;
    row.price = event.price;
    row.checksFencing = event.checksFencing;
    row.state = row.leaving ? UpstreamState::Leaving : UpstreamState::Live;
    m_tables.reindex(event.upstream);
}

void DecisionCore::apply(const UpstreamLeaving &event)
{
    UpstreamRow &row = m_tables.upstream(event.upstream);
    row.leaving = true;
    row.goneAt = event.goneAt;
    row.state = UpstreamState::Leaving;
    m_tables.reindex(event.upstream);
}

void DecisionCore::apply(const UpstreamGone &event)
{
    UpstreamRow &row = m_tables.upstream(event.upstream);
    row.leaving = false;
    row.state = UpstreamState::Gone;
    row.othersInFlight = 0;
    row.speed = {};
    m_tables.reindex(event.upstream);
}

void DecisionCore::apply(const UpstreamReported &event)
{
    noteReport(m_tables, event);
}

void DecisionCore::apply(const WorkspaceLimitsChanged &event)
{
    WorkspaceRow &row = m_tables.workspace(event.workspace);
    row.maxInFlight = event.maxInFlight;
    row.maxQueued = event.maxQueued;
}

void DecisionCore::apply(const EntryHostCountChanged &event)
{
    m_tables.entryHosts = std::max(event.hosts, 1U);
}

void DecisionCore::apply(const WorkspaceTargetsChanged &event)
{
    std::vector<RequestId> withdrawn;
    for (const auto &[key, queue] : m_tables.workspace(event.workspace).queues) {
        if (std::ranges::find(event.targets, key.target) == event.targets.end()) {
            withdrawn.insert(withdrawn.end(), queue.begin(), queue.end());
        }
    }
    TickContext context{m_now, m_actions};
    for (const RequestId request : withdrawn) {
        refuse(m_tables, context, request, RefusalCode::RouteWithdrawn, Duration(0));
    }
}

void DecisionCore::apply(const RequestArrived &event)
{
    RequestRow row;
    row.spec = event;
    row.arrivedWhileStopping = m_tables.stopping;
    const auto [entry, made] = m_tables.requests.emplace(event.request, std::move(row));
    if (made) {
        m_tables.setTimer(entry->second, event.deadline);
        m_tables.arrived.push_back(event.request);
    }
}

void DecisionCore::apply(const AttemptProgressed &event)
{
    AttemptRow *const attempt = m_tables.attempt(event.attempt);
    if (attempt == nullptr) {
        return;
    }
    noteProgress(m_tables, *attempt, event.tokens, m_now);
    RequestRow *const row = m_tables.request(attempt->request);
    if (row == nullptr) {
        return;
    }
    if (row->hedge && !row->hasOutput) {
        m_tables.firstOutputs.push_back(event.attempt);
    }
    row->hasOutput = true;
    row->run = RunState::Unknown;
    row->tokens += event.tokens;
}

void DecisionCore::apply(const AttemptEnded &event)
{
    const AttemptRow *const found = m_tables.attempt(event.attempt);
    if (found == nullptr) {
        return;
    }
    const AttemptRow attempt = *found;
    noteEnd(m_tables, attempt, event.outcome, m_now);
    m_tables.attempts.erase(event.attempt);
    RequestRow *const row = m_tables.request(attempt.request);
    if (row != nullptr) {
        noteSuspect(m_tables, *row, attempt, event, m_now);
    }
    if (row != nullptr && event.outcome != AttemptOutcome::Completed && !mayReconnect(attempt, event.outcome)) {
        row->avoided.insert(attempt.upstream);
    }
    m_tables.ended.push_back({event.attempt, attempt.request, event.outcome, attempt});
}

void DecisionCore::apply(const CallerDisconnected &event)
{
    const RequestRow *const row = m_tables.request(event.request);
    if (row == nullptr || !row->spec.idempotent) {
        return;
    }
    cancelAttempts(*row, m_actions);
    m_tables.erase(event.request);
}

void DecisionCore::apply(const EntryHostsNamed &event)
{
    m_tables.quarantine.setHosts(event.own, event.others);
}

void DecisionCore::apply(const SuspectsReported &event)
{
    m_tables.quarantine.apply(event.reports, m_now);
}

void DecisionCore::apply(const HostStopping &)
{
    m_tables.stopping = true;
}

namespace {

std::unique_ptr<IUpstreamChooser> makeChooser(const PolicySettings &settings, std::uint64_t seed)
{
    switch (settings.routing) {
    case RoutingPolicy::RoundRobin:
        return std::make_unique<RoundRobinChooser>(seed);
    case RoutingPolicy::Random:
        return std::make_unique<RandomChooser>(seed);
    case RoutingPolicy::LeastInFlight:
        return std::make_unique<LeastInFlightChooser>();
    case RoutingPolicy::EstimatedFinish:
        break;
    }
    return std::make_unique<EstimatedFinishChooser>(settings, seed);
}

std::unique_ptr<ISystem> makeRouting(const PolicySettings &settings, std::uint64_t seed)
{
    if (settings.queue == QueuePolicy::FirstCome) {
        return std::make_unique<FirstComeSystem>(makeChooser(settings, seed));
    }
    return std::make_unique<RoutingSystem>(makeChooser(settings, seed), settings.queue);
}

}

std::unique_ptr<IDecisionCore> makeDecisionCore(const PolicySettings &settings, std::uint64_t seed)
{
    std::vector<std::unique_ptr<ISystem>> systems;
    systems.push_back(std::make_unique<DeadlineSystem>(settings));
    if (settings.hedgeShare > 0) {
        systems.push_back(std::make_unique<HedgeSystem>(settings, makeChooser(settings, ~seed)));
    }
    systems.push_back(std::make_unique<RetrySystem>(settings, seed));
    systems.push_back(std::make_unique<MoveSystem>(settings));
    systems.push_back(std::make_unique<ReconnectSystem>());
    systems.push_back(std::make_unique<AdmissionSystem>(settings));
    systems.push_back(makeRouting(settings, seed));
    return std::make_unique<DecisionCore>(settings, std::move(systems));
}

}
