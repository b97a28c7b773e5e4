#pragma once

#include "decisions/isystem.h"

namespace rosemaryshift::decisions {

/// True when a new connection to the same upstream is to be tried after @p attempt ended with @p outcome: it fell silent, and
/// was not itself such a try that brought nothing. Thread-safe.
bool mayReconnect(const AttemptRow &attempt, AttemptOutcome outcome);

/// Resumes requests whose connection fell silent on a new connection to the same upstream, before any other is tried.
/// Such attempts do not count against the bound on attempts.
class ReconnectSystem : public ISystem
{
public:
    void run(Tables &tables, TickContext &context) override;
};

}
