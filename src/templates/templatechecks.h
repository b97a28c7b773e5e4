#pragma once

#include "settings/settingstypes.h"
#include "templates/itemplatefold.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::templates {

/// Parses the TOML text of a template and validates it without regard to the fleet; nothing, with @p errors filled, when it
/// has any error. @p file is the file name given in errors. Thread-safe.
std::optional<WorkspaceTemplate> parseTemplate(std::string_view text, std::string_view file, std::vector<SettingsError> &errors);

/// State of the fleet that a template is checked against.
struct FleetView {
    std::set<std::string> liveTargets; ///< Models and services that a live upstream serves.
    std::size_t entryHosts = 1;        ///< Number of entry hosts.
};

/// Checks a template against the templates in force and against what the fleet can serve. Each error names a line of @p file.
///
/// Errors are: a model or service that the template in force does not have and no live upstream of @p fleet serves; a change
/// that keeps none of the workspace's keys; a key that another workspace uses; a limit of requests in flight below the number
/// of entry hosts, since a host without a share of the limit would refuse every caller. Not thread-safe.
std::vector<SettingsError> checkAgainstFleet(const WorkspaceTemplate &content, std::string_view file, const ITemplateFold &fold, const FleetView &fleet);

}
