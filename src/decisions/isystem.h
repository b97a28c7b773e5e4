#pragma once

#include "decisions/tables.h"

#include <vector>

namespace rosemaryshift::decisions {

/// Time and output of a tick, passed to each system.
struct TickContext {
    TimePoint now;
    std::vector<Action> &actions; ///< Systems append their actions here.
};

/// One step of the decision core, such as admission or retries, which reads and updates the tables at each tick. Not thread-safe; used from the
/// core's thread only.
class ISystem
{
public:
    virtual ~ISystem() = default;

    virtual void run(Tables &tables, TickContext &context) = 0;
};

}
