#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"

namespace rosemaryshift::decisions {

/// When the next running attempt on a leaving upstream is to be moved at the latest; nothing when none is or all wait for an
/// upstream to move to.
std::optional<TimePoint> nextMove(const Tables &tables, const PolicySettings &settings, TimePoint now);

/// Lets requests on leaving upstreams finish if the notice allows and else cancels their attempts, so that they are resumed
/// elsewhere: at once when their pace shows that they cannot finish, otherwise shortly before the upstream is gone.
/// Calls that may not be repeated stay where they are.
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
