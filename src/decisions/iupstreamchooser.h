#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

struct UpstreamChoice {
    UpstreamId upstream;
    RouteReason reason;
};

/// Whether @p upstream is live, serves the request's target and has a slot that this host does not use.
bool canTake(const UpstreamRow &upstream, const RequestRow &request);

/// Chooses the upstream for a request's next attempt. Not thread-safe; belongs to the core's thread.
class IUpstreamChooser
{
public:
    virtual ~IUpstreamChooser() = default;

    /// The upstream with a free slot that serves @p request best; nothing when none can take it now.
    virtual std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) = 0;
};

}
