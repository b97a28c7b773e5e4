#include "decisions/internal/estimatedfinishchooser.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace rosemaryshift::decisions {

namespace {

constexpr std::size_t LeastOccupiedCandidates = 4; ///< Candidates taken from the least occupied upstreams.
constexpr std::size_t RandomCandidates = 3;        ///< Candidates chosen at random.
constexpr double PrefillTokenCost = 0.03;          ///< Time to process a prompt token, relative to the time to generate a token.
constexpr double PriceWeight = 0.05;               ///< Relative increase of the estimated time for each unit of the price.
constexpr double DefaultAnswerTokens = 64;         ///< Expected length of an answer before any was measured.
constexpr std::uint32_t ShortOverflow = 2;         ///< Requests beyond an upstream's slots, other than plans, that may wait in its own queue.
/// Fraction of an upstream's slots that a host leaves free once it uses its even share of them, for requests that other hosts start before the next
/// load report. Plans always leave it free, unless they have been queued for PlanAgingTime.
constexpr double SharedSlotMargin = 0.25;
constexpr Duration PlanAgingTime = std::chrono::seconds(60); ///< Time in the queue after which a plan may also use the slots of SharedSlotMargin.
constexpr double OtherZoneLatencySeconds = 0.001;            ///< Added to the estimate for an upstream in another availability zone.
constexpr double SlownessHalfLifeSeconds = 15;               ///< Time without a sample in which an upstream's excess over the mean time per token halves.

/// Returns the estimated time per token at @p upstream. The estimate of a slow upstream decays towards the mean of all, so that it is tried again.
double secondsPerToken(const UpstreamRow &upstream, const TargetRow &target, TimePoint now)
{
    const double mean = target.secondsPerToken;
    const double seen = upstream.speed.secondsPerToken;
    if (seen <= mean) {
        return seen > 0 ? seen : mean;
    }
    const double age = std::chrono::duration<double>(now - upstream.speed.measuredAt).count();
    return mean + (seen - mean) * std::exp2(-age / SlownessHalfLifeSeconds);
}

double estimatedSeconds(const UpstreamRow &upstream, const TargetRow &target, const RequestRow &request, bool prefixKnown, TimePoint now)
{
    const FlowRow &flow = target.flows.at(static_cast<std::size_t>(request.spec.trafficClass));
    const double tokens = flow.tokens > 0 ? flow.tokens : DefaultAnswerTokens;
    const double prompt = prefixKnown ? 0 : PrefillTokenCost * request.spec.promptTokens;
    const double other = upstream.sameZone ? 0 : OtherZoneLatencySeconds;
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
    const std::uint32_t margin = static_cast<std::uint32_t>(std::ceil(SharedSlotMargin * upstream.slots));
    if (request.spec.trafficClass != TrafficClass::Plan) {
        const std::uint32_t share = (upstream.slots + tables.entryHosts - 1) / tables.entryHosts;
        return upstream.occupied() < (upstream.inFlight < share ? upstream.slots + ShortOverflow : upstream.slots - margin);
    }
    const double cap = std::max(std::ceil(m_settings.planShare * upstream.slots / tables.entryHosts), 1.0);
    const bool aged = now - request.queuedAt >= PlanAgingTime;
    return upstream.plansInFlight < static_cast<std::uint32_t>(cap) && upstream.occupied() < (aged ? upstream.slots : upstream.slots - margin);
}

std::vector<UpstreamId> EstimatedFinishChooser::candidates(const TargetRow &target, const RequestRow &request)
{
    std::vector<UpstreamId> found;
    for (const auto &[occupancy, upstream] : target.byOccupancy) {
        if (found.size() >= LeastOccupiedCandidates + request.avoided.size()) {
            break;
        }
        found.push_back(upstream);
    }
    for (std::size_t i = 0; i < RandomCandidates; ++i) {
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
