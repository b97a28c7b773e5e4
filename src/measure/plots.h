#pragma once

#include "measure/summary.h"

namespace rosemaryshift::measure {

/// Output folder and captions of the plots.
struct PlotSettings {
    std::string folder; ///< Must exist.
    std::string scenario;
    std::string subtitle; ///< Seeds and policy settings of the runs.
};

/// Writes three SVG plots with a curve for each policy: goodput over load, first-token times behind plans, and question times
/// under slowed upstreams.
/// False, with @p reason set, when a file cannot be written. Not thread-safe, as PLplot is not.
bool writePlots(const PlotSettings &settings, std::span<const Summary> summaries, std::string &reason);

}
