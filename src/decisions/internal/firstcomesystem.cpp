#include "decisions/internal/firstcomesystem.h"

#include "decisions/internal/systems.h"

#include <utility>

namespace rosemaryshift::decisions {

FirstComeSystem::FirstComeSystem(std::unique_ptr<IUpstreamChooser> chooser)
    : m_chooser(std::move(chooser))
{
}

void FirstComeSystem::run(Tables &tables, TickContext &context)
{
    m_queue.insert(m_queue.begin(), tables.retrying.begin(), tables.retrying.end());
    tables.retrying.clear();
    m_queue.insert(m_queue.end(), tables.arrived.begin(), tables.arrived.end());
    tables.arrived.clear();
    while (!m_queue.empty() && startFirst(tables, context)) {
        m_queue.pop_front();
    }
}

bool FirstComeSystem::startFirst(Tables &tables, TickContext &context)
{
    const RequestId request = m_queue.front();
    RequestRow *const row = tables.request(request);
    if (row == nullptr) {
        return true;
    }
    const WorkspaceRow &workspace = tables.workspace(row->spec.workspace);
    if (!row->admitted && workspace.inFlight >= workspace.maxInFlight) {
        return false;
    }
    if (!startAttempt(tables, context, *m_chooser, request)) {
        return false;
    }
    if (!row->admitted) {
        tables.admit(*row);
    }
    return true;
}

}
