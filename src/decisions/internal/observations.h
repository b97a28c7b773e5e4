#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// Takes in a load report. Reports that are older than the last one are dropped.
void noteReport(Tables &tables, const UpstreamReported &report);
/// Counts a new attempt at its upstream and in its flow.
void noteStart(Tables &tables, const AttemptRow &attempt);
/// Takes in what the time between two outputs says about the upstream.
void noteProgress(Tables &tables, AttemptRow &attempt, std::uint32_t tokens, TimePoint now);
/// Takes the attempt out of the counts; a completed one says how long such work holds its slot.
void noteEnd(Tables &tables, const AttemptRow &attempt, AttemptOutcome outcome, TimePoint now);

}
