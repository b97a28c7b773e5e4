#pragma once

#include "decisions/tables.h"

namespace rosemaryshift::decisions {

struct UpstreamChoice {
    UpstreamId upstream;
    RouteReason reason;
};

/// Chooses the upstream for a request's next attempt. Not thread-safe; belongs to the core's thread.
class IUpstreamChooser
{
public:
    virtual ~IUpstreamChooser() = default;

    /// The upstream with a free slot that serves @p request best; nothing when none can take it now.
    virtual std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) = 0;
};

}
