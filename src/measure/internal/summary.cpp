#include "measure/summary.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace rosemaryshift::measure {

namespace {

constexpr double RequestsPerCostUnit = 1'000;

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    return sorted[std::min(static_cast<std::size_t>(share * static_cast<double>(sorted.size())), sorted.size() - 1)];
}

Quantiles quantilesOf(std::vector<double> seconds)
{
    std::ranges::sort(seconds);
    return {quantile(seconds, 0.5), quantile(seconds, 0.99), quantile(seconds, 0.999)};
}

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Counts of requests and their times in seconds, over several runs.
struct Tally {
    std::size_t all = 0;
    std::size_t met = 0;
    std::size_t refused = 0;
    std::size_t others = 0;
    std::size_t othersMet = 0;
    std::size_t plansStarted = 0;
    std::size_t plansFinished = 0;
    std::vector<double> firstTokens;
    std::vector<double> questionEnds;
    std::vector<double> planEnds;

    void add(const RequestResult &request)
    {
        ++all;
        met += request.metTarget ? 1 : 0;
        refused += request.refused ? 1 : 0;
        others += request.workspace > 0 ? 1 : 0;
        othersMet += request.workspace > 0 && request.metTarget ? 1 : 0;
        if (request.trafficClass == TrafficClass::Question) {
            addQuestion(request);
        }
        if (request.trafficClass == TrafficClass::Plan) {
            addPlan(request);
        }
    }

    void addQuestion(const RequestResult &request)
    {
        if (request.firstTokenAt) {
            firstTokens.push_back(secondsBetween(request.arrivedAt, *request.firstTokenAt));
        }
        if (request.completed) {
            questionEnds.push_back(secondsBetween(request.arrivedAt, *request.endedAt));
        }
    }

    void addPlan(const RequestResult &request)
    {
        plansStarted += request.firstTokenAt ? 1 : 0;
        plansFinished += request.completed ? 1 : 0;
        if (request.completed) {
            planEnds.push_back(secondsBetween(request.arrivedAt, *request.endedAt));
        }
    }
};

std::size_t countMetTarget(const RunResult &run)
{
    return static_cast<std::size_t>(std::ranges::count_if(run.requests, &RequestResult::metTarget));
}

void addRun(Summary &summary, const RunResult &run, double seeds)
{
    summary.recomputed += static_cast<double>(run.recomputedTokens) / seeds;
    summary.retryShare += ratio(static_cast<double>(run.attempts - run.firstAttempts), static_cast<double>(run.firstAttempts)) / seeds;
    summary.repeatedCalls += run.repeatedCalls;
    summary.unanswered += run.unanswered;
}

}

Summary summarize(const NamedPolicy &policy, const Experiment &experiment, std::span<const RunResult> runs)
{
    const double seeds = static_cast<double>(runs.size());
    Summary summary;
    summary.policy = policy.name;
    summary.experiment = experiment.name;
    summary.seeds = runs.size();
    Tally tally;
    double worst = -1;
    double best = 0;
    for (const RunResult &run : runs) {
        std::ranges::for_each(run.requests, [&tally](const RequestResult &request) { tally.add(request); });
        addRun(summary, run, seeds);
        const double goodput = static_cast<double>(countMetTarget(run)) / run.windowSeconds;
        worst = worst < 0 ? goodput : std::min(worst, goodput);
        best = std::max(best, goodput);
        summary.cost += run.fleetCost;
    }
    summary.goodput = static_cast<double>(tally.met) / seeds / runs.front().windowSeconds;
    summary.goodputSpread = best - worst;
    summary.metShare = ratio(static_cast<double>(tally.met), static_cast<double>(tally.all));
    summary.refusedShare = ratio(static_cast<double>(tally.refused), static_cast<double>(tally.all));
    summary.cost = ratio(summary.cost * RequestsPerCostUnit, static_cast<double>(tally.met));
    summary.questionFirstToken = quantilesOf(std::move(tally.firstTokens));
    summary.questionEnd = quantilesOf(std::move(tally.questionEnds));
    summary.planEnd = quantilesOf(std::move(tally.planEnds));
    summary.plansFinished = ratio(static_cast<double>(tally.plansFinished), static_cast<double>(tally.plansStarted));
    summary.otherWorkspacesMet = ratio(static_cast<double>(tally.othersMet), static_cast<double>(tally.others));
    return summary;
}

void writeTable(std::ostream &out, std::span<const Summary> summaries)
{
    out << std::left << std::setw(16) << "experiment" << std::setw(17) << "policy" << std::right
        << "  goodput    met refused  cost/k  first token p50/p99/p99.9   question p99  plan p99 plans  others recomputed  retry\n";
    for (const Summary &row : summaries) {
        out << std::left << std::setw(16) << row.experiment << std::setw(17) << row.policy << std::right << std::fixed << std::setprecision(2) << std::setw(9)
            << row.goodput << std::setprecision(1) << std::setw(6) << 100 * row.metShare << '%' << std::setw(7) << 100 * row.refusedShare << '%'
            << std::setprecision(3) << std::setw(8) << row.cost << std::setw(10) << row.questionFirstToken.p50 << std::setw(9) << row.questionFirstToken.p99
            << std::setw(9) << row.questionFirstToken.p999 << std::setw(13) << row.questionEnd.p99 << std::setprecision(1) << std::setw(10) << row.planEnd.p99
            << std::setw(6) << 100 * row.plansFinished << '%' << std::setw(6) << 100 * row.otherWorkspacesMet << '%' << std::setprecision(0) << std::setw(10)
            << row.recomputed << std::setprecision(1) << std::setw(6) << 100 * row.retryShare << "%\n";
    }
}

void writeCsv(std::ostream &out, const std::string &scenario, std::span<const Summary> summaries)
{
    out << "scenario,experiment,policy,seeds,goodput_per_s,goodput_spread_per_s,met_share,refused_share,cost_per_1000_met,question_first_token_p50_s,"
           "question_first_token_p99_s,question_first_token_p999_s,question_end_p50_s,question_end_p99_s,plan_end_p50_s,plan_end_p99_s,plans_finished_share,"
           "other_workspaces_met_share,recomputed_tokens,retry_share,repeated_calls,unanswered\n";
    for (const Summary &row : summaries) {
        out << scenario << ',' << row.experiment << ',' << row.policy << ',' << row.seeds << ',' << row.goodput << ',' << row.goodputSpread << ','
            << row.metShare << ',' << row.refusedShare << ',' << row.cost << ',' << row.questionFirstToken.p50 << ',' << row.questionFirstToken.p99 << ','
            << row.questionFirstToken.p999 << ',' << row.questionEnd.p50 << ',' << row.questionEnd.p99 << ',' << row.planEnd.p50 << ',' << row.planEnd.p99
            << ',' << row.plansFinished << ',' << row.otherWorkspacesMet << ',' << row.recomputed << ',' << row.retryShare << ',' << row.repeatedCalls << ','
            << row.unanswered << '\n';
    }
}

}
