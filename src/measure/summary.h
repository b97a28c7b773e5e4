#pragma once

#include "measure/measuretypes.h"

#include <iosfwd>
#include <span>

namespace rosemaryshift::measure {

/// Quantiles of a set of times, in seconds; zero when the set is empty.
struct Quantiles {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

/// One row of the report: results of one policy in one experiment over all seeds.
struct Summary {
    std::string policy;
    std::string experiment;
    std::size_t seeds = 0;
    double goodput = 0;       ///< Requests per second that met their target.
    double goodputSpread = 0; ///< Difference between the best and the worst seed, in requests per second.
    double metShare = 0;      ///< Share of all requests that met their target.
    double refusedShare = 0;  ///< Share of all requests that were refused.
    double cost = 0;          ///< Price of the fleet per thousand requests that met their target.
    Quantiles questionFirstToken;
    Quantiles questionEnd;
    Quantiles planEnd;
    double plansFinished = 0;        ///< Completed plans as a share of those that got a first token.
    double otherWorkspacesMet = 0;   ///< Share of the requests of all workspaces but the first that met their target.
    double recomputed = 0;           ///< Tokens processed again by later attempts, mean per run.
    double retryShare = 0;           ///< Second and further attempts per first attempt, mean over the runs.
    std::uint64_t repeatedCalls = 0; ///< See RunResult, sum over the runs.
    std::uint64_t unanswered = 0;    ///< See RunResult, sum over the runs.
};

/// Combines the runs of several seeds into one row. Precondition: @p runs is not empty.
Summary summarize(const NamedPolicy &policy, const Experiment &experiment, std::span<const RunResult> runs);

/// Writes a table with aligned columns.
void writeTable(std::ostream &out, std::span<const Summary> summaries);
/// Writes the summaries as comma-separated values with a header line.
void writeCsv(std::ostream &out, const std::string &scenario, std::span<const Summary> summaries);

}
