#pragma once

#include "operators/operatorclient.h"
#include "program/program.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::ctl {

void print(std::string_view text);
void complain(std::string_view text);

/// The host that the command line names; nothing, after a complaint, when it names none that can be used.
std::optional<operators::OperatorTarget> readTarget(const program::Arguments &arguments);
/// A host's answer to one call; nothing, after a complaint, when there is none or it is an error.
std::optional<Json::Value> call(const operators::OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body);

}
