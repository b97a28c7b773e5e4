#pragma once

#include "rollouts/rollout.h"

#include <string_view>

namespace rosemaryshift::rollouts {

/// What the holder of the duties decides of a roll-out, and why.
struct Decision {
    State state = State::Running;
    std::string_view reason; ///< Static text for the event log.
};

/// Decides how far a roll-out has come. Used by the holder of the duties; has no state, so that a new holder decides as the one before would, from what the
/// hosts tell. Thread-safe.
class RolloutController
{
public:
    /// The state of @p rollout at @p now. A final state stays. @p hosts: number of hosts, this one included; a roll-out is completed only while most of them
    /// are heard.
    [[nodiscard]] static Decision decide(const Rollout &rollout, std::size_t hosts, TimePoint now);

private:
    [[nodiscard]] static Decision decideAtEnd(const Rollout &rollout, bool mostHeard, bool overdue);
};

}
