#pragma once

#include "decisions/iupstreamchooser.h"

namespace rosemaryshift::decisions {

/// Takes the upstream with the smallest share of its slots in use, the own availability zone and the lower price first.
class LeastInFlightChooser : public IUpstreamChooser
{
public:
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;
};

}
