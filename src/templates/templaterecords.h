#pragma once

#include "templates/templatetypes.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rosemaryshift::templates {

/// A log record about templates: a change, or a revision carried forward.
using TemplateRecord = std::variant<TemplateChange, StatedRevision>;

/// Text of the log record for @p change. Thread-safe.
std::string toRecord(const TemplateChange &change);
/// Text of the log record that carries @p revision forward. Thread-safe.
std::string toRecord(const StatedRevision &revision);
/// Parses a log record; nothing when it is of another kind or malformed. Thread-safe.
std::optional<TemplateRecord> parseTemplateRecord(std::string_view record);

/// Converts a revision to the JSON object that peers exchange. Thread-safe.
Json::Value toJson(const StatedRevision &revision);
/// Parses an object written by toJson(); nothing when malformed. Thread-safe.
std::optional<StatedRevision> statedRevisionFromJson(const Json::Value &object);

}
