#pragma once

#include "measure/measuretypes.h"

namespace rosemaryshift::measure {

/// The decisions that ship, then the plain ones they are measured against.
std::vector<NamedPolicy> allPolicies();
/// What every policy is put through.
std::vector<Experiment> allExperiments();

}
