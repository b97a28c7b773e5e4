#pragma once

#include "decisions/iupstreamchooser.h"

#include <random>

namespace rosemaryshift::decisions {

/// Chooses the upstreams with a free slot in turn.
class RoundRobinChooser : public IUpstreamChooser
{
public:
    explicit RoundRobinChooser(std::uint64_t seed);
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;

private:
    std::size_t m_next;
};

/// Chooses an upstream with a free slot at random, each with the same probability.
class RandomChooser : public IUpstreamChooser
{
public:
    explicit RandomChooser(std::uint64_t seed);
    std::optional<UpstreamChoice> choose(const Tables &tables, const RequestRow &request, TimePoint now) override;

private:
    std::mt19937_64 m_random;
};

}
