#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

/// The upstream chosen for an attempt, and why.
struct UpstreamChoice {
    UpstreamId upstream;
    RouteReason reason;
};

/// Whether @p upstream is live, serves the request's target and has more slots than this host uses.
bool canTake(const UpstreamRow &upstream, const RequestRow &request);

/// Chooses the upstream for a request's next attempt. Not thread-safe; used from the core's thread only.
class IUpstreamChooser
{
public:
    virtual ~IUpstreamChooser() = default;

    /// Returns the best upstream for @p request among those with a free slot; nothing when no upstream can take the request now.
    virtual std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) = 0;
};

}
