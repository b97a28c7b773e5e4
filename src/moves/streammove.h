#pragma once

#include "ports/istreammover.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace rosemaryshift::moves {

/// What is to be done next for a move.
enum class MoveStep : std::uint8_t {
    ChooseDestination, ///< Choose an upstream that has not refused and does not leave.
    Copy,              ///< Have the memory copied while the run goes on.
    Stop,              ///< Have the rest copied, for which the run stops.
    Wait,              ///< Wait until a call in progress at the source has ended.
    Resume,            ///< Once the stream has ended, send its request to the destination with the handle.
    Release,           ///< Have the memory freed.
    Done,              ///< Nothing.
};

/// The course of the move of one run from an upstream that leaves to another one. It never lets the run go on elsewhere while the source may still work on it.
/// It is not resumed at the source either, which leaves. Not thread-safe.
class StreamMove
{
public:
    /// Number of destinations that are tried.
    static constexpr std::size_t MaxDestinations = 3;

    [[nodiscard]] MoveStep step() const;
    /// The destination of the current step; empty before one is chosen.
    [[nodiscard]] const std::string &destination() const;
    /// Destinations that have refused, or that leave.
    [[nodiscard]] const std::set<std::string> &refused() const;
    /// Handle to the memory; empty while none is known.
    [[nodiscard]] const std::string &handle() const;
    /// Whether a call that stops the run may have been received.
    [[nodiscard]] bool mayHaveStopped() const;
    /// Whether the source has stated that the run has stopped.
    [[nodiscard]] bool stopped() const;
    /// Why the run does not go on elsewhere; empty when nothing failed.
    [[nodiscard]] std::string_view failure() const;

    /// Precondition of each of these: the step that is named like it.
    void setDestination(std::string instance);
    void noteNoDestination();
    void noteWaited();
    void noteResumed();
    void noteReleased();
    /// The call of the step is being made. Precondition: the step is Copy or Stop.
    void noteCalled();
    /// The call has ended. Precondition: noteCalled() was called before.
    void noteAnswer(const ports::CopyAnswer &answer);
    /// The destination leaves or is gone. Precondition: the step is Copy, Stop or Resume, and no call is pending.
    void noteDestinationLost();
    /// The destination stated that it does not run the resumed request. Precondition: the step is Resume.
    void noteResumeRefused();
    /// The stream has ended, or the caller has left: the run is not moved any more. Allowed at any time, also while a call is pending.
    void noteRunEnded();

private:
    void noteCopied(const ports::CopyAnswer &answer);
    void noteCopyFailed(ports::CopyOutcome outcome);
    void noteStopFailed(const ports::CopyAnswer &answer);
    /// Repeats a call whose answer was lost, but once only.
    void noteAnswerLost();
    /// Goes on with another destination, if any may be tried.
    void tryAnother(std::string_view reason);
    void finish(std::string_view reason);

    MoveStep m_step = MoveStep::ChooseDestination;
    std::string m_destination;
    std::set<std::string> m_refused;
    std::string m_handle;
    std::string_view m_failure;
    bool m_copied = false;  ///< The current destination holds a complete copy of what the run had when it was made.
    bool m_stops = false;   ///< The last call was to stop the run.
    bool m_stopped = false; ///< See stopped().
    bool m_mayHaveStopped = false;
    bool m_ended = false;
    bool m_callPending = false;
    int m_lostAnswers = 0;
    int m_busyAnswers = 0;
};

}
