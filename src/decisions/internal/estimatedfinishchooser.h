#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/iupstreamchooser.h"

#include <random>

namespace rosemaryshift::decisions {

/// Chooses the earliest estimated completion among a few candidates: the least occupied upstreams, some random ones, so that hosts with the same
/// outdated load reports do not all choose the same upstream, and the one that last received the prompt's prefix. Does not scan all upstreams
/// (power of two choices, Mitzenmacher 2001).
class EstimatedFinishChooser : public IUpstreamChooser
{
public:
    EstimatedFinishChooser(const PolicySettings &settings, std::uint64_t seed);
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;

private:
    [[nodiscard]] std::vector<UpstreamId> candidates(const TargetRow &target, const RequestRow &request);
    /// Whether this host's plans use up its share of the slots that plans may use.
    [[nodiscard]] bool plansAtCap(const Tables &tables, const TargetRow &target) const;
    /// Whether @p upstream is live and has capacity for @p request, as far as its traffic class may use it.
    [[nodiscard]] bool hasRoom(const Tables &tables, const UpstreamRow &upstream, const RequestRow &request, TimePoint now) const;

    PolicySettings m_settings;
    std::mt19937_64 m_random;
};

}
