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
    if (!m_lastContinuesRun) {
        ++m_dispatches;
        ++m_mayHaveRun;
    }
}

void AttemptState::noteNotSent()
{
    if (m_lastContinuesRun) {
        m_executionState = m_stateBeforeDispatch;
        return;
    }
    --m_dispatches;
    --m_mayHaveRun;
    m_executionState = stateOfRest(m_dispatches > 0 ? ExecutionState::NotExecuted : ExecutionState::NotDispatched);
}

void AttemptState::noteNotExecuted()
{
    if (m_lastContinuesRun) {
        m_executionState = m_stateBeforeDispatch;
        return;
    }
    --m_mayHaveRun;
    m_executionState = stateOfRest(ExecutionState::NotExecuted);
}

ExecutionState AttemptState::stateOfRest(ExecutionState noneMayHaveRun) const
{
    if (m_mayHaveRun == 0) {
        return noneMayHaveRun;
    }
    return m_stateBeforeDispatch == ExecutionState::Responding ? ExecutionState::Responding : ExecutionState::Dispatched;
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
