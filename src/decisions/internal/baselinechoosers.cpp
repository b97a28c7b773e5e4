#include "decisions/internal/baselinechoosers.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

/// Returns the first upstream that can take the request, beginning at the index @p from and wrapping around.
std::optional<UpstreamChoice> firstFrom(const Tables &tables, const RequestRow &request, std::size_t from)
{
    const std::size_t count = tables.upstreams.size();
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (from + step) % count;
        const UpstreamRow &row = tables.upstreams[index];
        if (canTake(row, request)) {
            return UpstreamChoice{static_cast<UpstreamId>(index), {1, row.inFlight, request.attempts > 0, 0}};
        }
    }
    return std::nullopt;
}

}

bool canTake(const UpstreamRow &upstream, const RequestRow &request)
{
    return upstream.state == UpstreamState::Live && upstream.inFlight < upstream.slots
        && std::ranges::find(upstream.targets, request.spec.target) != upstream.targets.end();
}

RoundRobinChooser::RoundRobinChooser(std::uint64_t seed)
    : m_next(static_cast<std::size_t>(seed))
{
}

std::optional<UpstreamChoice> RoundRobinChooser::choose(const Tables &tables, const RequestRow &request, TimePoint)
{
    const std::optional<UpstreamChoice> choice = firstFrom(tables, request, m_next);
    if (choice) {
        m_next = static_cast<std::size_t>(choice->upstream) + 1;
    }
    return choice;
}

RandomChooser::RandomChooser(std::uint64_t seed)
    : m_random(seed)
{
}

std::optional<UpstreamChoice> RandomChooser::choose(const Tables &tables, const RequestRow &request, TimePoint)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < tables.upstreams.size(); ++i) {
        if (canTake(tables.upstreams[i], request)) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t index = candidates[m_random() % candidates.size()];
    const RouteReason reason{static_cast<std::uint32_t>(candidates.size()), tables.upstreams[index].inFlight, request.attempts > 0, 0};
    return UpstreamChoice{static_cast<UpstreamId>(index), reason};
}

}
