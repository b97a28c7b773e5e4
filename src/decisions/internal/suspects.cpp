#include "decisions/internal/suspects.h"

namespace rosemaryshift::decisions {

namespace {

quarantine::RequestTraits traitsOf(const RequestRow &request)
{
    return {request.spec.targetName, request.spec.fingerprint, {}};
}

}

void noteSuspect(Tables &tables, const RequestRow &request, const AttemptRow &attempt, const AttemptEnded &ended, TimePoint now)
{
    if (request.spec.fingerprint == 0) {
        return;
    }
    if (ended.connectionLost) {
        tables.quarantine.noteBroken(traitsOf(request), tables.upstream(attempt.upstream).name, attempt.startedAt, now);
    } else if (ended.outcome == AttemptOutcome::Completed || ended.outcome == AttemptOutcome::Rejected) {
        tables.quarantine.noteCompleted(traitsOf(request), now);
    }
    tables.quarantine.notePresence(request.spec.targetName, tables.upstream(attempt.upstream).name, attempt.startedAt, now);
}

std::optional<Duration> quarantineWait(Tables &tables, const RequestRow &request, TimePoint now)
{
    if (request.spec.fingerprint == 0) {
        return std::nullopt;
    }
    const std::optional<quarantine::Rejection> rejection = tables.quarantine.admit(traitsOf(request), now);
    return rejection ? std::optional(rejection->wait) : std::nullopt;
}

}
