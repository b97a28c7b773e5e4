#include "decisions/internal/systems.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Silent || outcome == AttemptOutcome::Cancelled;
}

bool served(const Tables &tables, TargetId target)
{
    return std::ranges::any_of(tables.upstreams, [target](const UpstreamRow &row) {
        return row.state == UpstreamState::Live && std::ranges::find(row.targets, target) != row.targets.end();
    });
}

void refuse(Tables &tables, TickContext &context, RequestId request, RefusalCode code, Duration retryAfter)
{
    const RequestRow *const row = tables.request(request);
    if (row->running) {
        context.actions.push_back(CancelAttempt{request, *row->running});
    }
    context.actions.push_back(RefuseRequest{request, code, row->run, retryAfter});
    tables.erase(request);
}

}

RetrySystem::RetrySystem(const PolicySettings &settings)
    : m_settings(settings)
{
}

void RetrySystem::run(Tables &tables, TickContext &context)
{
    for (const EndedAttempt &ended : tables.ended) {
        settle(tables, context, ended);
    }
    tables.ended.clear();
}

void RetrySystem::settle(Tables &tables, TickContext &context, const EndedAttempt &ended) const
{
    RequestRow *const row = tables.request(ended.request);
    if (row == nullptr || row->running != ended.attempt) {
        return;
    }
    row->running.reset();
    if (ended.outcome == AttemptOutcome::Completed) {
        context.actions.push_back(CompleteRequest{ended.request, ended.attempt});
        tables.erase(ended.request);
        return;
    }
    if (mayHaveRun(ended.outcome)) {
        row->run = RunState::Unknown;
    }
    if (row->run != RunState::NotRun && !row->spec.idempotent) {
        refuse(tables, context, ended.request, RefusalCode::OutcomeUnknown, Duration(0));
        return;
    }
    if (row->attempts >= m_settings.maxAttempts) {
        refuse(tables, context, ended.request, RefusalCode::AttemptsFailed, m_settings.retryAfter);
        return;
    }
    row->state = RequestState::Retrying;
    tables.retrying.push_back(ended.request);
}

void DeadlineSystem::run(Tables &tables, TickContext &context)
{
    std::vector<RequestId> late;
    for (const auto &[id, row] : tables.requests) {
        if (row.spec.deadline <= context.now) {
            late.push_back(id);
        }
    }
    for (const RequestId request : late) {
        const RequestRow &row = *tables.request(request);
        const bool mayRun = row.running && !row.spec.idempotent;
        if (mayRun || (row.running && row.run == RunState::NotRun)) {
            tables.request(request)->run = RunState::Unknown;
        }
        refuse(tables, context, request, mayRun ? RefusalCode::OutcomeUnknown : RefusalCode::DeadlinePassed, Duration(0));
    }
}

AdmissionSystem::AdmissionSystem(const PolicySettings &settings)
    : m_settings(settings)
{
}

std::optional<RefusalCode> AdmissionSystem::refusalOf(Tables &tables, const RequestRow &row) const
{
    if (tables.stopping) {
        return RefusalCode::HostStopping;
    }
    if (!served(tables, row.spec.target)) {
        return RefusalCode::NoUpstream;
    }
    const WorkspaceRow &workspace = tables.workspace(row.spec.workspace);
    if (workspace.inFlight + workspace.queue.size() >= std::size_t{workspace.maxInFlight} + workspace.maxQueued) {
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
        const std::optional<RefusalCode> code = refusalOf(tables, *row);
        if (code) {
            refuse(tables, context, request, *code, m_settings.retryAfter);
            continue;
        }
        row->state = RequestState::Queued;
        tables.workspace(row->spec.workspace).queue.push_back(request);
    }
}

RoutingSystem::RoutingSystem(std::unique_ptr<IUpstreamChooser> chooser)
    : m_chooser(std::move(chooser))
{
}

void RoutingSystem::run(Tables &tables, TickContext &context)
{
    std::erase_if(tables.retrying, [&](RequestId request) { return tables.request(request) == nullptr || startAttempt(tables, context, *m_chooser, request); });
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (WorkspaceRow &workspace : tables.workspaces) {
            progressed = startNextOf(tables, context, workspace) || progressed;
        }
    }
    for (const RequestId request : tables.arrived) {
        const RequestRow *const row = tables.request(request);
        if (row != nullptr && row->state == RequestState::Queued) {
            const WorkspaceRow &workspace = tables.workspace(row->spec.workspace);
            context.actions.push_back(QueueRequest{request, static_cast<std::uint32_t>(workspace.queue.size() - 1)});
        }
    }
    tables.arrived.clear();
}

bool RoutingSystem::startNextOf(Tables &tables, TickContext &context, WorkspaceRow &workspace)
{
    if (workspace.inFlight >= workspace.maxInFlight) {
        return false;
    }
    for (const RequestId request : workspace.queue) {
        if (!startAttempt(tables, context, *m_chooser, request)) {
            continue;
        }
        tables.request(request)->admitted = true;
        ++workspace.inFlight;
        std::erase(workspace.queue, request);
        return true;
    }
    return false;
}

bool startAttempt(Tables &tables, TickContext &context, IUpstreamChooser &chooser, RequestId request)
{
    RequestRow &row = *tables.request(request);
    const std::optional<UpstreamChoice> choice = chooser.choose(tables, row, context.now);
    if (!choice) {
        return false;
    }
    const AttemptId attempt = static_cast<AttemptId>(tables.nextAttempt++);
    tables.attempts[attempt] = {request, choice->upstream};
    ++tables.upstream(choice->upstream).inFlight;
    row.state = RequestState::Running;
    row.running = attempt;
    ++row.attempts;
    context.actions.push_back(StartAttempt{request, attempt, choice->upstream, choice->reason});
    return true;
}

}
