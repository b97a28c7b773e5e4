#pragma once

#include "decisions/iupstreamchooser.h"

namespace rosemaryshift::decisions {

/// Chooses the upstream with the smallest fraction of its slots in use by this host; among equal ones, an upstream in this host's availability zone,
/// then the cheaper one.
class LeastInFlightChooser : public IUpstreamChooser
{
public:
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;
};

}
