#include "decisions/internal/observations.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

constexpr double FlowWeight = 0.05;  ///< Of a new observation in a flow's mean.
constexpr double WorseWeight = 0.5;  ///< Of an observation that shows an upstream slower than thought.
constexpr double BetterWeight = 0.1; ///< Of one that shows it faster.
constexpr double LateFirstToken = 3; ///< Times the mean; a first token this late shows a slowed upstream.
constexpr double MaxLateness = 10;
constexpr std::size_t MaxPrefixes = 4'096; ///< Of one target.
constexpr std::size_t MaxOwnHistory = 256;

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

void blend(double &mean, double observed, double weight)
{
    mean = mean > 0 ? mean + weight * (observed - mean) : observed;
}

bool isPlan(const AttemptRow &attempt)
{
    return attempt.flow.trafficClass == TrafficClass::Plan;
}

void noteOwnChange(Tables &tables, UpstreamId id, TimePoint now)
{
    UpstreamRow &row = tables.upstream(id);
    row.ownHistory.emplace_back(now, row.inFlight);
    if (row.ownHistory.size() > MaxOwnHistory) {
        row.ownHistory.pop_front();
    }
    tables.reindex(id);
}

/// What this host had in flight when a report was measured; changes before it are dropped.
std::uint32_t ownInFlightAt(UpstreamRow &row, TimePoint measuredAt)
{
    if (row.ownHistory.empty()) {
        return row.inFlight;
    }
    while (row.ownHistory.size() > 1 && row.ownHistory[1].first <= measuredAt) {
        row.ownHistory.pop_front();
    }
    return row.ownHistory.front().second;
}

void noteSpeed(Tables &tables, const AttemptRow &attempt, double secondsPerToken, TimePoint now)
{
    SpeedEstimate &speed = tables.upstream(attempt.upstream).speed;
    blend(speed.secondsPerToken, secondsPerToken, secondsPerToken > speed.secondsPerToken ? WorseWeight : BetterWeight);
    speed.seenAt = now;
    blend(tables.target(attempt.flow.target).secondsPerToken, secondsPerToken, FlowWeight);
}

void notePrefix(TargetRow &target, std::uint64_t prefixHash, UpstreamId upstream)
{
    if (!target.prefixes.insert_or_assign(prefixHash, upstream).second) {
        return;
    }
    target.prefixOrder.push_back(prefixHash);
    if (target.prefixOrder.size() > MaxPrefixes) {
        target.prefixes.erase(target.prefixOrder.front());
        target.prefixOrder.pop_front();
    }
}

void noteFirstToken(Tables &tables, const AttemptRow &attempt, TimePoint now)
{
    const double seconds = secondsBetween(attempt.startedAt, now);
    FlowRow &flow = tables.flow(attempt.flow);
    const double lateness = flow.firstTokenSeconds > 0 ? seconds / flow.firstTokenSeconds : 1;
    if (lateness >= LateFirstToken) {
        noteSpeed(tables, attempt, tables.target(attempt.flow.target).secondsPerToken * std::min(lateness, MaxLateness), now);
    }
    blend(flow.firstTokenSeconds, seconds, FlowWeight);
}

}

void noteReport(Tables &tables, const UpstreamReported &report)
{
    UpstreamRow &row = tables.upstream(report.upstream);
    if (report.measuredAt < row.reportedAt) {
        return;
    }
    row.reportedAt = report.measuredAt;
    const std::uint32_t total = report.running + report.queued;
    const std::uint32_t own = ownInFlightAt(row, report.measuredAt);
    row.othersInFlight = total - std::min(own, total);
    tables.reindex(report.upstream);
}

void noteStart(Tables &tables, const AttemptRow &attempt)
{
    UpstreamRow &row = tables.upstream(attempt.upstream);
    ++row.inFlight;
    row.plansInFlight += isPlan(attempt) ? 1 : 0;
    ++tables.flow(attempt.flow).inFlight;
    noteOwnChange(tables, attempt.upstream, attempt.startedAt);
    if (attempt.prefixHash != 0) {
        notePrefix(tables.target(attempt.flow.target), attempt.prefixHash, attempt.upstream);
    }
}

void noteProgress(Tables &tables, AttemptRow &attempt, std::uint32_t tokens, TimePoint now)
{
    if (!attempt.progressedAt) {
        noteFirstToken(tables, attempt, now);
    } else if (tokens > 0) {
        noteSpeed(tables, attempt, secondsBetween(*attempt.progressedAt, now) / tokens, now);
    }
    attempt.progressedAt = now;
    attempt.tokens += tokens;
}

void noteEnd(Tables &tables, const AttemptRow &attempt, AttemptOutcome outcome, TimePoint now)
{
    UpstreamRow &row = tables.upstream(attempt.upstream);
    --row.inFlight;
    row.plansInFlight -= isPlan(attempt) ? 1 : 0;
    FlowRow &flow = tables.flow(attempt.flow);
    --flow.inFlight;
    noteOwnChange(tables, attempt.upstream, now);
    if (outcome == AttemptOutcome::Completed) {
        blend(flow.holdSeconds, secondsBetween(attempt.startedAt, now), FlowWeight);
        blend(flow.tokens, attempt.tokens, FlowWeight);
    }
}

}
