#pragma once

#include "measure/summary.h"

namespace rosemaryshift::measure {

/// Where plots go and what stands above them.
struct PlotSettings {
    std::string folder; ///< Exists already.
    std::string scenario;
    std::string subtitle; ///< Seeds and settings of the runs.
};

/// Writes goodput over load, first tokens behind plans and times under slowed upstreams as SVG, a curve for each policy.
/// False, with @p reason set, when a file cannot be written. Not thread-safe, as PLplot is not.
bool writePlots(const PlotSettings &settings, std::span<const Summary> summaries, std::string &reason);

}
