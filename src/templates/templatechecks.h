#pragma once

#include "settings/settingstypes.h"
#include "templates/itemplatefold.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::templates {

/// Reads and checks a template by itself; nothing, with @p errors filled, when it has any fault. Thread-safe.
std::optional<WorkspaceTemplate> parseTemplate(std::string_view text, std::string_view file, std::vector<SettingsError> &errors);

/// What a template is checked against besides what is in force.
struct FleetView {
    std::set<std::string> liveTargets; ///< Models and services that a live upstream serves.
    std::size_t entryHosts = 1;
};

/// Checks a template against what is in force and what the fleet can serve. Faults name a line of @p file.
///
/// It refuses a model or service that the workspace did not have before and that no live upstream of @p fleet serves, a
/// change that leaves none of the workspace's present keys, a key that another workspace uses, and fewer requests in flight
/// than there are entry hosts, since a host without a share would refuse every caller. Not thread-safe.
std::vector<SettingsError> checkAgainstFleet(const WorkspaceTemplate &content, std::string_view file, const ITemplateFold &fold, const FleetView &fleet);

}
