#pragma once

#include "templates/templatetypes.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryshift::templates {

/// What a log record says about templates.
using TemplateRecord = std::variant<TemplateChange, StatedRevision>;

/// Text of the log record that carries @p change. Thread-safe.
std::string toRecord(const TemplateChange &change);
/// Text of the log record that carries @p revision forward. Thread-safe.
std::string toRecord(const StatedRevision &revision);
/// Parses a log record; nothing when it is of another kind or malformed. Thread-safe.
std::optional<TemplateRecord> parseTemplateRecord(std::string_view record);

/// A revision as a JSON object, for peers. Thread-safe.
Json::Value toJson(const StatedRevision &revision);
/// Reads what toJson() wrote; nothing when malformed. Thread-safe.
std::optional<StatedRevision> statedRevisionFromJson(const Json::Value &object);

}
