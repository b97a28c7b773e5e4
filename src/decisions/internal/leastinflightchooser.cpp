#include "decisions/internal/leastinflightchooser.h"

#include <algorithm>
#include <tuple>

namespace rosemaryshift::decisions {

namespace {

double shareInUse(const UpstreamRow &upstream)
{
    return static_cast<double>(upstream.inFlight) / static_cast<double>(std::max(upstream.slots, 1U));
}

}

std::optional<UpstreamChoice> LeastInFlightChooser::choose(const Tables &tables, const RequestRow &request, TimePoint)
{
    using Rank = std::tuple<bool, double, bool, double>;
    std::optional<UpstreamChoice> best;
    Rank bestRank;
    std::uint32_t candidates = 0;
    for (std::size_t i = 0; i < tables.upstreams.size(); ++i) {
        const UpstreamRow &row = tables.upstreams[i];
        if (!canTake(row, request)) {
            continue;
        }
        ++candidates;
        const UpstreamId id = static_cast<UpstreamId>(i);
        const Rank rank{request.avoided.contains(id), shareInUse(row), !row.sameZone, row.price};
        if (!best || rank < bestRank) {
            best = UpstreamChoice{id, {0, row.inFlight, request.attempts > 0, shareInUse(row)}};
            bestRank = rank;
        }
    }
    if (best) {
        best->reason.candidates = candidates;
    }
    return best;
}

}
