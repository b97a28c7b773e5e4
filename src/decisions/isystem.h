#pragma once

#include "decisions/tables.h"

#include <vector>

namespace rosemaryshift::decisions {

/// What a system may use besides the tables.
struct TickContext {
    TimePoint now;
    std::vector<Action> &actions;
};

/// One decision, run over the tables at each tick. Not thread-safe; belongs to the core's thread.
class ISystem
{
public:
    virtual ~ISystem() = default;

    virtual void run(Tables &tables, TickContext &context) = 0;
};

}
