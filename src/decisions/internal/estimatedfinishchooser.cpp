#include "decisions/internal/estimatedfinishchooser.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace rosemaryshift::decisions {

namespace {

constexpr std::size_t LeastOccupied = 4;   ///< Candidates from the front of the index.
constexpr std::size_t Sampled = 3;         ///< Candidates at random.
constexpr double PrefillShare = 0.03;      ///< Time to read a prompt token, in times between generated ones.
constexpr double PriceWeight = 0.05;       ///< Of the price against the estimated time.
constexpr double UnknownTokens = 64;       ///< Expected length until an answer was seen.
constexpr std::uint32_t ShortOverflow = 2; ///< Short requests that may wait in an upstream's own queue.
constexpr double SharedMargin = 0.25; ///< Of the slots, left free by a host that has its even share there, for what the others start before the next report.
constexpr Duration PlanAge = std::chrono::seconds(60); ///< After which a queued plan may wait there too.
constexpr double OtherZoneSeconds = 0.001;
constexpr double SlownessHalfLife = 15; ///< Seconds without an observation after which half of a slowness is forgiven.

/// Time between tokens at @p upstream; what was seen long ago fades towards the mean, so that it is tried again.
double secondsPerToken(const UpstreamRow &upstream, const TargetRow &target, TimePoint now)
{
    const double mean = target.secondsPerToken;
    const double seen = upstream.speed.secondsPerToken;
    if (seen <= mean) {
        return seen > 0 ? seen : mean;
    }
    const double age = std::chrono::duration<double>(now - upstream.speed.seenAt).count();
    return mean + (seen - mean) * std::exp2(-age / SlownessHalfLife);
}

double estimatedSeconds(const UpstreamRow &upstream, const TargetRow &target, const RequestRow &request, bool prefixKnown, TimePoint now)
{
    const FlowRow &flow = target.flows.at(static_cast<std::size_t>(request.spec.trafficClass));
    const double tokens = flow.tokens > 0 ? flow.tokens : UnknownTokens;
    const double prompt = prefixKnown ? 0 : PrefillShare * request.spec.promptTokens;
    const double other = upstream.sameZone ? 0 : OtherZoneSeconds;
    return (tokens + prompt) * secondsPerToken(upstream, target, now) + other;
}

}

EstimatedFinishChooser::EstimatedFinishChooser(const PolicySettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

bool EstimatedFinishChooser::plansAtCap(const Tables &tables, const TargetRow &target) const
{
    const double cap = std::max(m_settings.planShare * target.slots / tables.entryHosts, 1.0);
    return target.flows.at(static_cast<std::size_t>(TrafficClass::Plan)).inFlight >= static_cast<std::uint32_t>(cap);
}

bool EstimatedFinishChooser::hasRoom(const Tables &tables, const UpstreamRow &upstream, const RequestRow &request, TimePoint now) const
{
    if (upstream.state != UpstreamState::Live) {
        return false;
    }
    const std::uint32_t margin = static_cast<std::uint32_t>(std::ceil(SharedMargin * upstream.slots));
    if (request.spec.trafficClass != TrafficClass::Plan) {
        const std::uint32_t share = (upstream.slots + tables.entryHosts - 1) / tables.entryHosts;
        return upstream.occupied() < (upstream.inFlight < share ? upstream.slots + ShortOverflow : upstream.slots - margin);
    }
    const double cap = std::max(std::ceil(m_settings.planShare * upstream.slots / tables.entryHosts), 1.0);
    const bool aged = now - request.queuedAt >= PlanAge;
    return upstream.plansInFlight < static_cast<std::uint32_t>(cap) && upstream.occupied() < (aged ? upstream.slots : upstream.slots - margin);
}

std::vector<UpstreamId> EstimatedFinishChooser::candidates(const TargetRow &target, const RequestRow &request)
{
    std::vector<UpstreamId> found;
    for (const auto &[occupancy, upstream] : target.byOccupancy) {
        if (found.size() >= LeastOccupied + request.avoided.size()) {
            break;
        }
        found.push_back(upstream);
    }
    for (std::size_t i = 0; i < Sampled; ++i) {
        found.push_back(target.live[m_random() % target.live.size()]);
    }
    const std::unordered_map<std::uint64_t, UpstreamId>::const_iterator known = target.prefixes.find(request.spec.prefixHash);
    if (known != target.prefixes.end()) {
        found.push_back(known->second);
    }
    return found;
}

std::optional<UpstreamChoice> EstimatedFinishChooser::choose(const Tables &tables, const RequestRow &request, TimePoint now)
{
    using Rank = std::tuple<bool, double, double>;
    const TargetRow &target = tables.targets.at(static_cast<std::size_t>(request.spec.target));
    if (target.live.empty() || (request.spec.trafficClass == TrafficClass::Plan && plansAtCap(tables, target))) {
        return std::nullopt;
    }
    const std::unordered_map<std::uint64_t, UpstreamId>::const_iterator known = target.prefixes.find(request.spec.prefixHash);
    std::optional<UpstreamChoice> best;
    Rank bestRank;
    const std::vector<UpstreamId> found = candidates(target, request);
    for (const UpstreamId id : found) {
        const UpstreamRow &row = tables.upstreams[static_cast<std::size_t>(id)];
        if (!hasRoom(tables, row, request, now)) {
            continue;
        }
        const bool prefixKnown = known != target.prefixes.end() && known->second == id;
        const double seconds = estimatedSeconds(row, target, request, prefixKnown, now) * (1 + PriceWeight * row.price);
        const Rank rank{request.avoided.contains(id), seconds, static_cast<double>(row.occupied()) / row.slots};
        if (!best || rank < bestRank) {
            best = UpstreamChoice{id, {0, row.inFlight, request.attempts > 0, seconds}};
            bestRank = rank;
        }
    }
    if (best) {
        best->reason.candidates = static_cast<std::uint32_t>(std::set<UpstreamId>(found.begin(), found.end()).size());
    }
    return best;
}

}
