#include "moves/streammove.h"

namespace rosemaryshift::moves {

namespace {

/// A call whose answer was lost is made this number of times.
constexpr int MaxLostAnswers = 2;
/// Number of times that a call in progress at the source is waited for.
constexpr int MaxBusyAnswers = 8;

}

MoveStep StreamMove::step() const
{
    return m_step;
}

const std::string &StreamMove::destination() const
{
    return m_destination;
}

const std::set<std::string> &StreamMove::refused() const
{
    return m_refused;
}

const std::string &StreamMove::handle() const
{
    return m_handle;
}

bool StreamMove::mayHaveStopped() const
{
    return m_mayHaveStopped;
}

bool StreamMove::stopped() const
{
    return m_stopped;
}

std::string_view StreamMove::failure() const
{
    return m_failure;
}

void StreamMove::setDestination(std::string instance)
{
    m_destination = std::move(instance);
    m_copied = false;
    m_step = m_mayHaveStopped ? MoveStep::Stop : MoveStep::Copy;
}

void StreamMove::noteNoDestination()
{
    finish("no_destination");
}

void StreamMove::noteWaited()
{
    m_step = m_stops ? MoveStep::Stop : MoveStep::Copy;
}

void StreamMove::noteResumed()
{
    m_step = MoveStep::Done;
}

void StreamMove::noteReleased()
{
    m_handle.clear();
    m_step = MoveStep::Done;
}

void StreamMove::noteCalled()
{
    m_callPending = true;
}

void StreamMove::noteAnswer(const ports::CopyAnswer &answer)
{
    m_callPending = false;
    m_stops = m_step == MoveStep::Stop;
    if (!answer.handle.empty()) {
        m_handle = answer.handle;
    }
    // The calls whose answers say that it was not received, or that the source has no such run, stop nothing.
    const bool stopsNothing
        = answer.outcome == ports::CopyOutcome::Unreachable || answer.outcome == ports::CopyOutcome::NoRun || answer.outcome == ports::CopyOutcome::Busy;
    m_mayHaveStopped = m_mayHaveStopped || (m_stops && !stopsNothing);
    m_stopped = m_stopped || (m_stops && (answer.outcome == ports::CopyOutcome::Copied || answer.outcome == ports::CopyOutcome::NoRoom));
    if (m_ended) {
        m_step = m_handle.empty() ? MoveStep::Done : MoveStep::Release;
        return;
    }
    if (answer.outcome == ports::CopyOutcome::Copied) {
        noteCopied(answer);
    } else if (answer.outcome == ports::CopyOutcome::Unknown) {
        noteAnswerLost();
    } else if (answer.outcome == ports::CopyOutcome::Busy) {
        m_step = MoveStep::Wait;
        if (++m_busyAnswers > MaxBusyAnswers) {
            finish("busy");
        }
    } else if (m_stops) {
        noteStopFailed(answer);
    } else {
        noteCopyFailed(answer.outcome);
    }
}

void StreamMove::noteCopied(const ports::CopyAnswer &answer)
{
    if (answer.handle.empty()) {
        finish("no_handle");
        return;
    }
    m_copied = true;
    m_lostAnswers = 0;
    m_step = m_stops ? MoveStep::Resume : MoveStep::Stop;
}

void StreamMove::noteCopyFailed(ports::CopyOutcome outcome)
{
    if (outcome == ports::CopyOutcome::NoRun) {
        finish("no_run");
    } else if (outcome == ports::CopyOutcome::Unreachable) {
        finish("source_lost");
    } else if (outcome == ports::CopyOutcome::NoRoom) {
        tryAnother("no_room");
    } else {
        finish("refused");
    }
}

void StreamMove::noteStopFailed(const ports::CopyAnswer &answer)
{
    const bool runStopped = m_mayHaveStopped || answer.outcome == ports::CopyOutcome::Unreachable;
    if (answer.outcome == ports::CopyOutcome::NoRun || answer.outcome == ports::CopyOutcome::Unreachable) {
        // The source does not work on the run any more. The copy lacks at most the last tokens, which the destination reads again.
        if (m_copied && runStopped) {
            m_step = MoveStep::Resume;
            return;
        }
        finish(answer.outcome == ports::CopyOutcome::NoRun ? "no_run" : "source_lost");
        return;
    }
    if (answer.outcome == ports::CopyOutcome::NoRoom) {
        tryAnother("no_room");
        return;
    }
    finish("refused");
}

void StreamMove::noteAnswerLost()
{
    if (++m_lostAnswers >= MaxLostAnswers) {
        finish("answer_lost");
    }
}

void StreamMove::noteDestinationLost()
{
    tryAnother("destination_lost");
}

void StreamMove::noteResumeRefused()
{
    if (!m_stopped) {
        finish("handle_refused"); // The source is gone, and its memory with it.
        return;
    }
    tryAnother("handle_refused");
}

void StreamMove::noteRunEnded()
{
    m_ended = true;
    if (m_callPending || m_step == MoveStep::Done) {
        return; // What is to be done follows from the answer to the call.
    }
    m_step = m_handle.empty() ? MoveStep::Done : MoveStep::Release;
}

void StreamMove::tryAnother(std::string_view reason)
{
    m_refused.insert(m_destination);
    m_copied = false;
    m_lostAnswers = 0;
    if (!m_stopped) {
        m_handle.clear(); // The copy is gone with its destination, or was never made.
    }
    if (m_refused.size() >= MaxDestinations) {
        finish(reason);
        return;
    }
    m_step = MoveStep::ChooseDestination;
}

void StreamMove::finish(std::string_view reason)
{
    m_failure = reason;
    m_step = m_handle.empty() ? MoveStep::Done : MoveStep::Release;
}

}
