#pragma once

#include "measure/measuretypes.h"

#include <random>

namespace rosemaryshift::measure {

/// One request of the simulated callers and the entry host it is sent to.
struct Arrival {
    TimePoint at;
    std::uint32_t host = 0;
    std::uint32_t workspace = 0;
    const ClassLoad *load = nullptr;
    std::uint32_t tokens = 1; ///< Output length.
    std::uint64_t prefixHash = 0;
};

/// Generates all arrivals of a run in order of time: a Poisson process for each pair of workspace and class, each request at a
/// random host.
std::vector<Arrival> makeArrivals(const Scenario &scenario, const Experiment &experiment, Duration length, std::mt19937_64 &random);

}
