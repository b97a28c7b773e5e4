#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"

namespace rosemaryshift::decisions {

/// Returns the earliest future time at which a running attempt on a leaving upstream has to be moved; nothing when there is none or that time has
/// passed for all and they wait for an upstream to move to.
std::optional<TimePoint> nextMove(const Tables &tables, const PolicySettings &settings, TimePoint now);

/// Moves idempotent requests away from leaving upstreams by cancelling their attempts, so that they resume elsewhere: at once when their generation
/// speed shows that they cannot finish before the upstream is gone, otherwise shortly before that time. Other requests are never moved.
class MoveSystem : public ISystem
{
public:
    explicit MoveSystem(const PolicySettings &settings);
    void run(Tables &tables, TickContext &context) override;

private:
    [[nodiscard]] bool isDue(const Tables &tables, const RequestRow &request, TimePoint now) const;

    const PolicySettings m_settings;
};

}
