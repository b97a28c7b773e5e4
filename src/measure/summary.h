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

/// One line of the table: what the runs of one policy in one experiment gave, all seeds together.
struct Summary {
    std::string policy;
    std::string experiment;
    std::size_t seeds = 0;
    double goodput = 0;       ///< Requests a second that met their target.
    double goodputSpread = 0; ///< Between the best and the worst seed.
    double metShare = 0;      ///< Of all requests.
    double refusedShare = 0;
    double cost = 0; ///< Of a thousand requests that met their target.
    Quantiles questionFirstToken;
    Quantiles questionEnd;
    Quantiles planEnd;
    double plansFinished = 0;      ///< Share of the plans that were started.
    double otherWorkspacesMet = 0; ///< Share, without the first workspace.
    double recomputed = 0;         ///< Tokens a run.
    double retryShare = 0;         ///< Second and further attempts for each first one.
    std::uint64_t repeatedCalls = 0;
    std::uint64_t unanswered = 0;
};

/// Puts the runs of several seeds together. Precondition: @p runs is not empty.
Summary summarize(const NamedPolicy &policy, const Experiment &experiment, std::span<const RunResult> runs);

/// A table for people.
void writeTable(std::ostream &out, std::span<const Summary> summaries);
/// The same as comma-separated values with a header line.
void writeCsv(std::ostream &out, const std::string &scenario, std::span<const Summary> summaries);

}
