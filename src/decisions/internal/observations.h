#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// Applies an upstream's load report, unless it is older than the last one.
void noteReport(Tables &tables, const UpstreamReported &report);
/// Counts a new attempt at its upstream and in the statistics of its traffic class and target.
void noteStart(Tables &tables, const AttemptRow &attempt);
/// Records the output of an attempt and updates the upstream's speed estimate from the time since the previous output.
void noteProgress(Tables &tables, AttemptRow &attempt, std::uint32_t tokens, TimePoint now);
/// Removes an ended attempt from the counts. A completed one updates the means of its traffic class and target.
void noteEnd(Tables &tables, const AttemptRow &attempt, AttemptOutcome outcome, TimePoint now);

}
