#pragma once

#include <cstdint>
#include <string_view>

namespace rosemaryshift::gateway {

/// What the gateway knows of whether a caller's attempt was executed by an upstream.
enum class ExecutionState : std::uint8_t {
    NotDispatched, ///< No byte of it was sent to any upstream.
    NotExecuted,   ///< Each upstream that received it stated that it did not execute it.
    Dispatched,    ///< It was sent to an upstream, which may have executed it.
    Responding,    ///< An upstream has started its response.
    Completed,     ///< The caller got its final response.
};

/// Name of @p state in log lines; tools rely on it. Thread-safe.
std::string_view name(ExecutionState state);

/// Tracks the dispatches of one attempt of a caller. This class alone decides whether the attempt may be rejected as not run, and whether it may be
/// sent to another upstream. Not thread-safe.
class AttemptState
{
public:
    /// @p mayRunTwice: the request may be executed more than once. @p maxDispatches: maximum number of upstreams that it may be sent to.
    AttemptState(bool mayRunTwice, std::uint32_t maxDispatches);

    /// Records that the attempt is about to be sent to an upstream. Precondition: mayDispatch().
    void noteDispatched();
    /// Records that nothing was sent for one of the dispatches, as when the connection to the upstream failed. Precondition: there is one without a result.
    void noteNotSent();
    /// Records that an upstream stated that it did not execute the attempt. Precondition: there is a dispatch without a result.
    void noteNotExecuted();
    /// Records that the upstream started its response.
    void noteResponseStarted();
    /// Records that the run has stopped at its upstream and goes on at another one that holds its memory. The next dispatch belongs to the same run: it is
    /// allowed although the request may not run twice, and does not count. Precondition: the upstream has started its response.
    void noteMoved();
    /// Records that the caller got its final response.
    void noteCompleted();

    [[nodiscard]] ExecutionState executionState() const;
    /// Whether a rejection may state that the attempt did not run.
    [[nodiscard]] bool mayRejectAsNotRun() const;
    /// Whether the attempt may be sent to another upstream.
    [[nodiscard]] bool mayDispatch() const;
    /// Number of upstreams that the attempt was sent to, without those at which a run went on that had begun elsewhere.
    [[nodiscard]] std::uint32_t dispatches() const;

private:
    /// The state that follows from the other dispatches when one has not run. @p noneMayHaveRun: the state if that is true of all of them.
    [[nodiscard]] ExecutionState stateOfRest(ExecutionState noneMayHaveRun) const;

    const bool m_mayRunTwice;
    const std::uint32_t m_maxDispatches;
    std::uint32_t m_dispatches = 0;
    std::uint32_t m_mayHaveRun = 0;  ///< Dispatches that were sent, as far as is known, to upstreams that did not state that they did not execute the attempt.
    bool m_moved = false;            ///< The run goes on with the next dispatch.
    bool m_lastContinuesRun = false; ///< The last dispatch went on with a run.
    ExecutionState m_executionState = ExecutionState::NotDispatched;
    ExecutionState m_stateBeforeDispatch = ExecutionState::NotDispatched;
};

}
