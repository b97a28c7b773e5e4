#pragma once

#include "operators/operatorclient.h"
#include "program/program.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::ctl {

/// Writes @p text to standard output.
void print(std::string_view text);
/// Writes @p text and a line break to standard error.
void printError(std::string_view text);

/// Address and token from --host and --token-file; nothing, after printing an error, when one of them cannot be used.
std::optional<operators::OperatorTarget> readTarget(const program::Arguments &arguments);
/// Body of a host's answer to one call; nothing, after printing an error, when there is no answer or it is an error.
std::optional<Json::Value> call(const operators::OperatorTarget &target, const std::string &method, const std::string &path, const Json::Value &body);

}
