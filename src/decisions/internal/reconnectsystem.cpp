#include "decisions/internal/reconnectsystem.h"

#include "decisions/internal/observations.h"

#include <utility>

namespace rosemaryshift::decisions {

namespace {

/// Starts an attempt on a new connection to the request's previous upstream; false when that upstream cannot take the request any more, or the
/// request is not to be reconnected.
bool reconnect(Tables &tables, TickContext &context, RequestId request)
{
    RequestRow *const row = tables.request(request);
    if (row == nullptr || !row->reconnectTo) {
        return false;
    }
    const UpstreamId upstream = *std::exchange(row->reconnectTo, std::nullopt);
    UpstreamRow &target = tables.upstream(upstream);
    if (target.state != UpstreamState::Live || target.inFlight >= target.slots) {
        return false;
    }
    RouteReason reason;
    reason.candidates = 1;
    reason.ownInFlight = target.inFlight;
    reason.retry = true;
    reason.reconnect = true;
    const AttemptId attempt = static_cast<AttemptId>(tables.nextAttempt++);
    AttemptRow started{request, upstream, row->queueKey(), context.now, row->spec.prefixHash, 0, std::nullopt};
    started.reconnect = true;
    tables.attempts.emplace(attempt, started);
    noteStart(tables, started);
    row->state = RequestState::Running;
    row->running = attempt;
    context.actions.push_back(StartAttempt{request, attempt, upstream, reason});
    return true;
}

}

bool mayReconnect(const AttemptRow &attempt, AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::Silent && (!attempt.reconnect || attempt.tokens > 0);
}

void ReconnectSystem::run(Tables &tables, TickContext &context)
{
    std::erase_if(tables.retrying, [&](RequestId request) { return reconnect(tables, context, request); });
}

}
