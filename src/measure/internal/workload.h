#pragma once

#include "measure/measuretypes.h"

#include <random>

namespace rosemaryshift::measure {

/// One request of the emulated callers.
struct Arrival {
    TimePoint at;
    std::uint32_t host = 0;
    std::uint32_t workspace = 0;
    const ClassLoad *load = nullptr;
    std::uint32_t tokens = 1;
    std::uint64_t prefixHash = 0;
};

/// All arrivals of a run in the order of time: each class and workspace a Poisson process, each request at a random host.
std::vector<Arrival> makeArrivals(const Scenario &scenario, const Experiment &experiment, Duration length, std::mt19937_64 &random);

}
