#include "decisions/internal/hedgesystem.h"

#include "decisions/internal/systems.h"

#include <utility>

namespace rosemaryshift::decisions {

namespace {

constexpr double HedgeBurst = 10; ///< Hedges allowed in addition to PolicySettings::hedgeShare.

bool mayHedge(const RequestRow &row)
{
    return row.running && !row.hedge && !row.hasOutput && row.spec.idempotent && row.spec.trafficClass != TrafficClass::Plan;
}

}

HedgeSystem::HedgeSystem(const PolicySettings &settings, std::unique_ptr<IUpstreamChooser> chooser)
    : m_settings(settings)
    , m_chooser(std::move(chooser))
{
}

void HedgeSystem::run(Tables &tables, TickContext &context)
{
    for (const AttemptId attempt : std::exchange(tables.firstOutputs, {})) {
        keepFaster(tables, context, attempt);
    }
    for (const RequestId request : std::exchange(tables.hedgeDue, {})) {
        hedge(tables, context, request);
    }
}

void HedgeSystem::keepFaster(Tables &tables, TickContext &context, AttemptId attempt)
{
    const AttemptRow *const first = tables.attempt(attempt);
    RequestRow *const row = first == nullptr ? nullptr : tables.request(first->request);
    if (row == nullptr || !row->hedge || !row->running) {
        return;
    }
    const AttemptId loser = attempt == *row->hedge ? *row->running : *row->hedge;
    context.actions.push_back(CancelAttempt{row->spec.request, loser});
    row->running = attempt;
    row->hedge.reset();
}

void HedgeSystem::hedge(Tables &tables, TickContext &context, RequestId request)
{
    RequestRow *const row = tables.request(request);
    const double budget = HedgeBurst + m_settings.hedgeShare * static_cast<double>(tables.nextAttempt);
    if (row == nullptr || !mayHedge(*row) || static_cast<double>(m_hedges) >= budget) {
        return;
    }
    const AttemptRow *const running = tables.attempt(*row->running);
    if (running == nullptr) {
        return;
    }
    const UpstreamId slow = running->upstream;
    row->avoided.insert(slow);
    const std::optional<UpstreamChoice> choice = m_chooser->choose(tables, *row, context.now);
    if (!choice || choice->upstream == slow) {
        return;
    }
    ++m_hedges;
    row->hedge = makeAttempt(tables, context, *row, *choice);
}

}
