#include "decisions/internal/estimates.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

constexpr double LateFirstTokenFactor = 3; ///< Multiple of the mean time to the first token from which a first token is late.
constexpr double ServiceTimeMargin = 3;    ///< Multiple of the mean service time that must remain until the deadline when an attempt starts.

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}

TimePoint latestStart(Tables &tables, const RequestRow &request)
{
    const FlowRow &flow = tables.flow(request.queueKey());
    const TimePoint forDeadline = request.spec.deadline - fromSeconds(ServiceTimeMargin * flow.serviceSeconds);
    if (!request.spec.firstTokenDeadline) {
        return forDeadline;
    }
    return std::min(forDeadline, *request.spec.firstTokenDeadline - fromSeconds(flow.firstTokenSeconds));
}

TimePoint hedgeTime(Tables &tables, const RequestRow &request, TimePoint start)
{
    const double seconds = tables.flow(request.queueKey()).firstTokenSeconds;
    return seconds > 0 ? start + fromSeconds(LateFirstTokenFactor * seconds) : request.spec.deadline;
}

std::size_t queuedAhead(Tables &tables, const RequestRow &request)
{
    const QueueKey key = request.queueKey();
    const WorkspaceRow &workspace = tables.workspace(request.spec.workspace);
    const std::map<QueueKey, std::set<RequestId>>::const_iterator own = workspace.queues.find(key);
    const std::size_t ownAhead = own == workspace.queues.end() ? 0 : own->second.size();
    const FlowRow &flow = tables.flow(key);
    const std::size_t turns = flow.waitingWorkspaces + (ownAhead == 0 ? 1 : 0);
    return std::min<std::size_t>(flow.queued, (ownAhead + 1) * turns - 1);
}

std::optional<Duration> estimatedWait(Tables &tables, const RequestRow &request, std::size_t ahead)
{
    const FlowRow &flow = tables.flow(request.queueKey());
    if (flow.serviceSeconds <= 0) {
        return std::nullopt;
    }
    return fromSeconds(static_cast<double>(ahead + 1) * flow.serviceSeconds / std::max(flow.inFlight, 1U));
}

}
