#include "decisions/tables.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

template <typename Row, typename Id>
Row &rowAt(std::vector<Row> &rows, Id id)
{
    const std::size_t index = static_cast<std::size_t>(id);
    if (index >= rows.size()) {
        rows.resize(index + 1);
    }
    return rows[index];
}

}

std::string_view name(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Completed:
        return "completed";
    case AttemptOutcome::NotOffered:
        return "not_offered";
    case AttemptOutcome::Declined:
        return "declined";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Silent:
        return "silent";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    }
    return "broken";
}

std::string_view name(RefusalCode code)
{
    switch (code) {
    case RefusalCode::OverLimit:
        return "over_limit";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::NoUpstream:
        return "no_upstream";
    case RefusalCode::DeadlinePassed:
        return "deadline_passed";
    case RefusalCode::AttemptsFailed:
        return "attempts_failed";
    case RefusalCode::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalCode::RouteWithdrawn:
        return "route_withdrawn";
    case RefusalCode::Rejected:
        return "rejected_by_upstream";
    case RefusalCode::HostStopping:
        return "host_stopping";
    case RefusalCode::Quarantined:
        return "request_quarantined";
    }
    return "no_upstream";
}

UpstreamRow &Tables::upstream(UpstreamId upstream)
{
    return rowAt(upstreams, upstream);
}

WorkspaceRow &Tables::workspace(WorkspaceId workspace)
{
    return rowAt(workspaces, workspace);
}

TargetRow &Tables::target(TargetId target)
{
    return rowAt(targets, target);
}

FlowRow &Tables::flow(QueueKey key)
{
    return target(key.target).flows.at(static_cast<std::size_t>(key.trafficClass));
}

RequestRow *Tables::request(RequestId request)
{
    const std::unordered_map<RequestId, RequestRow>::iterator found = requests.find(request);
    return found == requests.end() ? nullptr : &found->second;
}

AttemptRow *Tables::attempt(AttemptId attempt)
{
    const std::unordered_map<AttemptId, AttemptRow>::iterator found = attempts.find(attempt);
    return found == attempts.end() ? nullptr : &found->second;
}

std::uint32_t UpstreamRow::occupied() const
{
    return inFlight + othersInFlight;
}

void Tables::reindex(UpstreamId id)
{
    UpstreamRow &row = upstream(id);
    const bool live = row.state == UpstreamState::Live;
    const double key = static_cast<double>(row.occupied()) / std::max(row.slots, 1U);
    for (const TargetId targetId : row.targets) {
        TargetRow &target = this->target(targetId);
        if (row.indexKey) {
            target.byOccupancy.erase({*row.indexKey, id});
        }
        if (live) {
            target.byOccupancy.emplace(key, id);
        }
        if (live && !row.indexKey) {
            target.live.push_back(id);
            target.slots += row.slots;
        }
        if (!live && row.indexKey) {
            std::erase(target.live, id);
            target.slots -= row.slots;
        }
    }
    row.indexKey = live ? std::optional(key) : std::nullopt;
}

QueueKey RequestRow::queueKey() const
{
    return {spec.trafficClass, spec.target};
}

void Tables::setTimer(RequestRow &request, TimePoint at)
{
    timers.erase({request.timer, request.spec.request});
    request.timer = at;
    timers.emplace(at, request.spec.request);
}

void Tables::enqueue(RequestRow &request)
{
    const QueueKey key = request.queueKey();
    WorkspaceRow &owner = workspace(request.spec.workspace);
    std::set<RequestId> &queue = owner.queues[key];
    FlowRow &row = flow(key);
    row.waitingWorkspaces += queue.empty() ? 1 : 0;
    ++row.queued;
    ++owner.queued;
    queue.insert(request.spec.request);
    waiting.insert(request.spec.workspace);
    request.state = RequestState::Queued;
}

void Tables::dequeue(const RequestRow &request)
{
    const QueueKey key = request.queueKey();
    WorkspaceRow &owner = workspace(request.spec.workspace);
    const std::map<QueueKey, std::set<RequestId>>::iterator queue = owner.queues.find(key);
    if (queue == owner.queues.end() || queue->second.erase(request.spec.request) == 0) {
        return;
    }
    FlowRow &row = flow(key);
    --row.queued;
    --owner.queued;
    if (queue->second.empty()) {
        --row.waitingWorkspaces;
        owner.queues.erase(queue);
    }
    if (owner.queues.empty()) {
        waiting.erase(request.spec.workspace);
    }
}

void Tables::admit(RequestRow &request)
{
    dequeue(request);
    request.admitted = true;
    ++workspace(request.spec.workspace).inFlight;
}

void Tables::erase(RequestId request)
{
    RequestRow *const row = this->request(request);
    if (row == nullptr) {
        return;
    }
    if (row->admitted) {
        --workspace(row->spec.workspace).inFlight;
    }
    dequeue(*row);
    timers.erase({row->timer, request});
    requests.erase(request);
}

}
