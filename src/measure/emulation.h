#pragma once

#include "measure/measuretypes.h"

namespace rosemaryshift::measure {

/// Simulates one run in virtual time: the decision cores of all entry hosts against fake upstreams. The result depends on
/// the arguments alone. Thread-safe.
RunResult emulate(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed);

}
