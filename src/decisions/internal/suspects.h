#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// Records whether an attempt at @p request ended by what may be a crash of its upstream, or by an answer.
void noteSuspect(Tables &tables, const RequestRow &request, const AttemptRow &attempt, const AttemptEnded &ended, TimePoint now);
/// Returns how long @p request must be kept from the upstreams; nothing when it may be sent, perhaps as a trial.
std::optional<Duration> quarantineWait(Tables &tables, const RequestRow &request, TimePoint now);

}
