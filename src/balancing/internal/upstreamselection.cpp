#include "balancing/internal/upstreamrecords.h"

#include <algorithm>

namespace rosemaryshift::balancing {

namespace {

/// Time between two reports of another host's load up to which all upstreams are compared.
constexpr std::chrono::milliseconds FreshReportInterval{400};
/// Number of upstreams that are picked at random where reports are older. The older the reports, the fewer it takes until all hosts choose alike.
constexpr std::size_t PickedUpstreams = 2;

}

const UpstreamBalancer::Upstream *UpstreamBalancer::find(std::string_view instance) const
{
    const auto known = m_upstreams.find(std::string(instance));
    return known == m_upstreams.end() ? nullptr : &known->second;
}

std::vector<const Candidate *> UpstreamBalancer::compared(std::span<const Candidate> candidates, std::string_view home, TimePoint now)
{
    std::vector<const Candidate *> all;
    std::vector<const Candidate *> sound;
    const Candidate *homeCandidate = nullptr;
    for (const Candidate &candidate : candidates) {
        all.push_back(&candidate);
        const Upstream *const upstream = find(candidate.instance);
        const bool full = candidate.maxConcurrentRequests > 0 && upstream != nullptr && upstream->own.running >= candidate.maxConcurrentRequests;
        const bool failing = upstream != nullptr && (upstream->consecutiveFailures > 0 || (upstream->ejectedUntil && now < *upstream->ejectedUntil));
        if (!full && !failing && !candidate.zoneUnreachable) {
            sound.push_back(&candidate);
        }
        if (candidate.instance == home) {
            homeCandidate = &candidate;
        }
    }
    if (m_reportInterval <= FreshReportInterval || sound.size() <= PickedUpstreams) {
        return all;
    }
    std::vector<const Candidate *> picked;
    std::ranges::sample(sound, std::back_inserter(picked), PickedUpstreams, m_random);
    if (homeCandidate != nullptr && std::ranges::find(picked, homeCandidate) == picked.end()) {
        picked.push_back(homeCandidate);
    }
    return picked;
}

}
