#include "balancing/upstreambalancer.h"
#include "base/rendezvous.h"

namespace rosemaryshift::balancing {

std::optional<std::uint64_t> sharedPart(std::span<const ports::PromptPart> parts)
{
    if (parts.size() < 2) {
        return std::nullopt;
    }
    return parts[parts.size() - 2].id;
}

std::string_view rendezvousHome(std::uint64_t key, std::span<const Candidate> candidates)
{
    std::string_view home;
    std::uint64_t highest = 0;
    for (const Candidate &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(key, candidate.instance);
        if (home.empty() || weight > highest) {
            home = candidate.instance;
            highest = weight;
        }
    }
    return home;
}

}
