#pragma once

#include "measure/measuretypes.h"

namespace rosemaryshift::measure {

/// The production policy first, then the baseline policies that it is compared with.
std::vector<NamedPolicy> allPolicies();
/// The experiments that every policy is run in.
std::vector<Experiment> allExperiments();

}
