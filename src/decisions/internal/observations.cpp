#include "decisions/internal/observations.h"

namespace rosemaryshift::decisions {

namespace {

constexpr double FlowWeight = 0.05; ///< Of a new observation in a flow's mean.

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

void blend(double &mean, double observed, double weight)
{
    mean = mean > 0 ? mean + weight * (observed - mean) : observed;
}

}

void noteStart(Tables &tables, const AttemptRow &attempt)
{
    ++tables.upstream(attempt.upstream).inFlight;
    ++tables.flow(attempt.flow).inFlight;
}

void noteProgress(Tables &tables, AttemptRow &attempt, std::uint32_t, TimePoint now)
{
    if (!attempt.progressedAt) {
        blend(tables.flow(attempt.flow).firstTokenSeconds, secondsBetween(attempt.startedAt, now), FlowWeight);
    }
    attempt.progressedAt = now;
}

void noteEnd(Tables &tables, const AttemptRow &attempt, AttemptOutcome outcome, TimePoint now)
{
    --tables.upstream(attempt.upstream).inFlight;
    FlowRow &flow = tables.flow(attempt.flow);
    --flow.inFlight;
    if (outcome == AttemptOutcome::Completed) {
        blend(flow.holdSeconds, secondsBetween(attempt.startedAt, now), FlowWeight);
    }
}

}
