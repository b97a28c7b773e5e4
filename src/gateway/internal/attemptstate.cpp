#include "gateway/internal/attemptstate.h"

#include <utility>

namespace rosemaryshift::gateway {

std::string_view name(ExecutionState state)
{
    switch (state) {
    case ExecutionState::NotDispatched:
        return "not_offered";
    case ExecutionState::NotExecuted:
        return "known_not_run";
    case ExecutionState::Dispatched:
        return "offered";
    case ExecutionState::Responding:
        return "running";
    case ExecutionState::Completed:
        return "answered";
    }
    return "unknown";
}

AttemptState::AttemptState(bool mayRunTwice, std::uint32_t maxDispatches)
    : m_mayRunTwice(mayRunTwice)
    , m_maxDispatches(maxDispatches)
{
}

void AttemptState::noteDispatched()
{
    m_stateBeforeDispatch = m_executionState;
    m_executionState = ExecutionState::Dispatched;
    m_lastContinuesRun = std::exchange(m_moved, false);
    m_dispatches += m_lastContinuesRun ? 0 : 1;
}

void AttemptState::noteNotSent()
{
    m_executionState = m_stateBeforeDispatch;
    m_dispatches -= m_lastContinuesRun ? 0 : 1;
}

void AttemptState::noteNotExecuted()
{
    const bool mayHaveRunBefore = m_stateBeforeDispatch == ExecutionState::Dispatched || m_stateBeforeDispatch == ExecutionState::Responding;
    m_executionState = mayHaveRunBefore ? m_stateBeforeDispatch : ExecutionState::NotExecuted;
}

void AttemptState::noteResponseStarted()
{
    m_executionState = ExecutionState::Responding;
}

void AttemptState::noteMoved()
{
    m_moved = true;
}

void AttemptState::noteCompleted()
{
    m_executionState = ExecutionState::Completed;
}

ExecutionState AttemptState::executionState() const
{
    return m_executionState;
}

bool AttemptState::mayRejectAsNotRun() const
{
    return m_executionState == ExecutionState::NotDispatched || m_executionState == ExecutionState::NotExecuted;
}

bool AttemptState::mayDispatch() const
{
    if (m_executionState == ExecutionState::Completed) {
        return false;
    }
    return m_moved || (m_dispatches < m_maxDispatches && (m_mayRunTwice || mayRejectAsNotRun()));
}

std::uint32_t AttemptState::dispatches() const
{
    return m_dispatches;
}

}
