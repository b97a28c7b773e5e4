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

/// Checks a template against what is in force and what the fleet can serve. Faults name a line of @p file.
///
/// It refuses a model or service that the workspace did not have before and that is not among @p liveTargets, a change
/// that leaves none of the workspace's present keys, and a key that another workspace uses. Not thread-safe.
std::vector<SettingsError>
checkAgainstFleet(const WorkspaceTemplate &content, std::string_view file, const ITemplateFold &fold, const std::set<std::string> &liveTargets);

}
