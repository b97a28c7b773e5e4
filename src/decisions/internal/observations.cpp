#include "decisions/internal/observations.h"

#include <algorithm>

namespace rosemaryshift::decisions {

namespace {

constexpr double MeanWeight = 0.05;             ///< Weight of a new sample in the means of a target and its traffic classes.
constexpr double SlowerWeight = 0.5;            ///< Weight of a sample that is slower than the upstream's estimate.
constexpr double FasterWeight = 0.1;            ///< Weight of a sample that is not slower than the upstream's estimate.
constexpr double LateFirstTokenFactor = 3;      ///< Multiple of the mean time to the first token from which a first token indicates a slow upstream.
constexpr double MaxLateness = 10;              ///< Upper bound on the factor by which a late first token raises the estimated time per token.
constexpr std::size_t MaxPrefixes = 4'096;      ///< Prompt prefixes remembered for each target.
constexpr std::size_t MaxInFlightHistory = 256; ///< Entries of UpstreamRow::inFlightHistory kept without a load report.

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

void updateAverage(double &mean, double observed, double weight)
{
    mean = mean > 0 ? mean + weight * (observed - mean) : observed;
}

bool isPlan(const AttemptRow &attempt)
{
    return attempt.flow.trafficClass == TrafficClass::Plan;
}

void recordInFlightChange(Tables &tables, UpstreamId id, TimePoint now)
{
    UpstreamRow &row = tables.upstream(id);
    row.inFlightHistory.emplace_back(now, row.inFlight);
    if (row.inFlightHistory.size() > MaxInFlightHistory) {
        row.inFlightHistory.pop_front();
    }
    tables.reindex(id);
}

/// Returns how many attempts this host had in flight when a load report was measured, and drops older history.
std::uint32_t ownInFlightAt(UpstreamRow &row, TimePoint measuredAt)
{
    if (row.inFlightHistory.empty()) {
        return row.inFlight;
    }
    while (row.inFlightHistory.size() > 1 && row.inFlightHistory[1].first <= measuredAt) {
        row.inFlightHistory.pop_front();
    }
    return row.inFlightHistory.front().second;
}

void noteSpeed(Tables &tables, const AttemptRow &attempt, double secondsPerToken, TimePoint now)
{
    SpeedEstimate &speed = tables.upstream(attempt.upstream).speed;
    updateAverage(speed.secondsPerToken, secondsPerToken, secondsPerToken > speed.secondsPerToken ? SlowerWeight : FasterWeight);
    speed.measuredAt = now;
    updateAverage(tables.target(attempt.flow.target).secondsPerToken, secondsPerToken, MeanWeight);
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
    if (lateness >= LateFirstTokenFactor) {
        noteSpeed(tables, attempt, tables.target(attempt.flow.target).secondsPerToken * std::min(lateness, MaxLateness), now);
    }
    updateAverage(flow.firstTokenSeconds, seconds, MeanWeight);
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
    recordInFlightChange(tables, attempt.upstream, attempt.startedAt);
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
    recordInFlightChange(tables, attempt.upstream, now);
    if (outcome == AttemptOutcome::Completed) {
        updateAverage(flow.serviceSeconds, secondsBetween(attempt.startedAt, now), MeanWeight);
        updateAverage(flow.tokens, attempt.tokens, MeanWeight);
    }
}

}
