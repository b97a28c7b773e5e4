#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/iupstreamchooser.h"

#include <random>

namespace rosemaryshift::decisions {

/// Takes the earliest estimated end among a few candidates: the least occupied, some at random, so that hosts with the
/// same late reports do not all go to the same one, and the one that read the prompt's prefix last. Never looks at all
/// upstreams (power of two choices, Mitzenmacher 2001).
class EstimatedFinishChooser : public IUpstreamChooser
{
public:
    EstimatedFinishChooser(const PolicySettings &settings, std::uint64_t seed);
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;

private:
    [[nodiscard]] std::vector<UpstreamId> candidates(const TargetRow &target, const RequestRow &request);
    /// Whether plans of this host hold its part of the slots that plans may have.
    [[nodiscard]] bool plansAtCap(const Tables &tables, const TargetRow &target) const;
    [[nodiscard]] bool hasRoom(const Tables &tables, const UpstreamRow &upstream, const RequestRow &request, TimePoint now) const;

    PolicySettings m_settings;
    std::mt19937_64 m_random;
};

}
