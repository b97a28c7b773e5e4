#pragma once

#include "decisions/isystem.h"

namespace rosemaryshift::decisions {

/// Whether a new connection to the same upstream should be tried after @p attempt ended with @p outcome: the attempt ran into the progress timeout,
/// and it was not itself such a new connection that produced no tokens. Thread-safe.
bool mayReconnect(const AttemptRow &attempt, AttemptOutcome outcome);

/// Resumes requests whose attempt ran into the progress timeout on a new connection to the same upstream, before any other upstream is tried. These
/// attempts do not count towards PolicySettings::maxAttempts.
class ReconnectSystem : public ISystem
{
public:
    void run(Tables &tables, TickContext &context) override;
};

}
