#pragma once

#include "measure/measuretypes.h"

namespace rosemaryshift::measure {

/// Runs the decision cores of all entry hosts against fake upstreams in virtual time. The same arguments give the same
/// result. Thread-safe.
RunResult emulate(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed);

}
