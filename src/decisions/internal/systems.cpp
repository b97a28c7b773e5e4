#include "decisions/internal/systems.h"

#include "decisions/internal/estimates.h"
#include "decisions/internal/observations.h"
#include "decisions/internal/suspects.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

struct QueueHead {
    QueueKey key;
    RequestId request;
};

/// Returns the first request of each queue of a workspace, in the order in which they should start.
std::vector<QueueHead> queueHeads(const WorkspaceRow &workspace, QueuePolicy policy)
{
    std::vector<QueueHead> heads;
    for (const auto &[key, queue] : workspace.queues) {
        heads.push_back({key, *queue.begin()});
    }
    if (policy == QueuePolicy::FairByWorkspace) {
        std::ranges::sort(heads, {}, &QueueHead::request);
    }
    return heads;
}

}

void refuse(Tables &tables, TickContext &context, RequestId request, RefusalCode code, Duration retryAfter)
{
    const RequestRow *const row = tables.request(request);
    cancelAttempts(*row, context.actions);
    context.actions.push_back(RefuseRequest{request, code, row->run, retryAfter});
    tables.erase(request);
}

void cancelAttempts(const RequestRow &request, std::vector<Action> &actions)
{
    for (const std::optional<AttemptId> attempt : {request.running, request.hedge}) {
        if (attempt) {
            actions.push_back(CancelAttempt{request.spec.request, *attempt});
        }
    }
}

DeadlineSystem::DeadlineSystem(const PolicySettings &settings)
    : m_settings(settings)
{
}

void DeadlineSystem::run(Tables &tables, TickContext &context)
{
    while (!tables.timers.empty() && tables.timers.begin()->first <= context.now) {
        handleTimer(tables, context, tables.timers.begin()->second);
    }
}

void DeadlineSystem::handleTimer(Tables &tables, TickContext &context, RequestId request) const
{
    RequestRow &row = *tables.request(request);
    if (row.state == RequestState::Queued && row.spec.deadline > context.now) {
        const Duration wait = estimatedWait(tables, row, 0).value_or(m_settings.retryAfter);
        refuse(tables, context, request, RefusalCode::Overloaded, std::max(wait, m_settings.retryAfter));
        return;
    }
    if (row.spec.deadline > context.now) {
        (row.state == RequestState::Retrying ? tables.retryDue : tables.hedgeDue).push_back(request);
        tables.setTimer(row, row.spec.deadline);
        return;
    }
    const bool mayRun = row.running && !row.spec.idempotent;
    if (row.running && row.run == RunState::NotRun) {
        row.run = RunState::Unknown;
    }
    refuse(tables, context, request, mayRun ? RefusalCode::OutcomeUnknown : RefusalCode::DeadlinePassed, Duration(0));
}

AdmissionSystem::AdmissionSystem(const PolicySettings &settings)
    : m_settings(settings)
{
}

std::optional<RefusalCode> AdmissionSystem::admissionRefusal(Tables &tables, const RequestRow &row) const
{
    if (row.arrivedWhileStopping) {
        return RefusalCode::HostStopping;
    }
    if (tables.target(row.spec.target).live.empty()) {
        return RefusalCode::NoUpstream;
    }
    const WorkspaceRow &workspace = tables.workspace(row.spec.workspace);
    if (workspace.inFlight + workspace.queued >= workspace.maxInFlight + workspace.maxQueued) {
        return RefusalCode::OverLimit;
    }
    return std::nullopt;
}

void AdmissionSystem::run(Tables &tables, TickContext &context)
{
    for (const RequestId request : tables.arrived) {
        RequestRow *const row = tables.request(request);
        if (row == nullptr) {
            continue;
        }
        const std::optional<RefusalCode> code = admissionRefusal(tables, *row);
        if (code) {
            refuse(tables, context, request, *code, m_settings.retryAfter);
            continue;
        }
        if (const std::optional<Duration> wait = quarantineWait(tables, *row, context.now)) {
            refuse(tables, context, request, RefusalCode::Quarantined, *wait);
            continue;
        }
        admit(tables, context, *row);
    }
}

void AdmissionSystem::admit(Tables &tables, TickContext &context, RequestRow &row) const
{
    row.queuedAt = context.now;
    if (!m_settings.estimateStart) {
        tables.enqueue(row);
        return;
    }
    row.startBy = latestStart(tables, row);
    const std::size_t ahead = queuedAhead(tables, row);
    const std::optional<Duration> wait = estimatedWait(tables, row, ahead);
    if (ahead > 0 && wait && context.now + *wait > *row.startBy) {
        refuse(tables, context, row.spec.request, RefusalCode::Overloaded, std::max(*wait, m_settings.retryAfter));
        return;
    }
    tables.setTimer(row, std::clamp(*row.startBy, context.now + Duration(1), row.spec.deadline));
    tables.enqueue(row);
}

RoutingSystem::RoutingSystem(std::unique_ptr<IUpstreamChooser> chooser, QueuePolicy policy)
    : m_chooser(std::move(chooser))
    , m_policy(policy)
{
}

void RoutingSystem::run(Tables &tables, TickContext &context)
{
    std::erase_if(tables.retrying, [&](RequestId request) { return tables.request(request) == nullptr || startAttempt(tables, context, *m_chooser, request); });
    startQueued(tables, context);
    for (const RequestId request : tables.arrived) {
        const RequestRow *const row = tables.request(request);
        if (row != nullptr && row->state == RequestState::Queued) {
            const WorkspaceRow &workspace = tables.workspace(row->spec.workspace);
            context.actions.push_back(QueueRequest{request, workspace.queued - 1});
        }
    }
    tables.arrived.clear();
}

void RoutingSystem::startQueued(Tables &tables, TickContext &context)
{
    std::set<QueueKey> blocked;
    bool progressed = true;
    while (progressed) {
        progressed = false;
        const std::vector<WorkspaceId> waiting(tables.waiting.begin(), tables.waiting.end());
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            progressed = startNextRequest(tables, context, waiting[(m_firstWorkspace + i) % waiting.size()], blocked) || progressed;
        }
        ++m_firstWorkspace;
    }
}

bool RoutingSystem::startNextRequest(Tables &tables, TickContext &context, WorkspaceId id, std::set<QueueKey> &blocked)
{
    const WorkspaceRow &workspace = tables.workspace(id);
    if (workspace.inFlight >= workspace.maxInFlight) {
        return false;
    }
    for (const auto &[key, request] : queueHeads(workspace, m_policy)) {
        if (blocked.contains(key)) {
            continue;
        }
        if (startAttempt(tables, context, *m_chooser, request)) {
            tables.admit(*tables.request(request));
            return true;
        }
        blocked.insert(key);
    }
    return false;
}

AttemptId makeAttempt(Tables &tables, TickContext &context, RequestRow &request, const UpstreamChoice &choice)
{
    const AttemptId attempt = static_cast<AttemptId>(tables.nextAttempt++);
    const AttemptRow started{request.spec.request, choice.upstream, request.queueKey(), context.now, request.spec.prefixHash, 0, std::nullopt};
    tables.attempts.emplace(attempt, started);
    noteStart(tables, started);
    context.actions.push_back(StartAttempt{request.spec.request, attempt, choice.upstream, choice.reason});
    const TimePoint late = hedgeTime(tables, request, context.now);
    tables.setTimer(request, std::min(late, request.spec.deadline));
    return attempt;
}

bool startAttempt(Tables &tables, TickContext &context, IUpstreamChooser &chooser, RequestId request)
{
    RequestRow &row = *tables.request(request);
    const std::optional<UpstreamChoice> choice = chooser.choose(tables, row, context.now);
    if (!choice) {
        return false;
    }
    row.state = RequestState::Running;
    row.running = makeAttempt(tables, context, row, *choice);
    tables.firstAttempts += row.attempts == 0 ? 1 : 0;
    ++row.attempts;
    return true;
}

}
