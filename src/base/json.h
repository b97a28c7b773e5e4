#pragma once

#include <json/value.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift {

/// Parses strict JSON; nothing, with @p reason set, when @p text is malformed or nested deeper than the parser allows. Thread-safe.
std::optional<Json::Value> parseJson(std::string_view text, std::string &reason);
/// Compact JSON text on one line. Thread-safe.
std::string toText(const Json::Value &value);
/// Member @p key of @p object as a string; nothing when absent or of another type. Thread-safe.
std::optional<std::string> stringMember(const Json::Value &object, const char *key);
/// Member @p key of @p object as a non-negative number; nothing when absent, negative or of another type. Thread-safe.
std::optional<std::uint64_t> unsignedMember(const Json::Value &object, const char *key);
/// An object that holds @p counts by name. Thread-safe.
Json::Value countsToJson(const std::map<std::string, std::uint64_t> &counts);
/// The counts that an object holds by name; nothing when @p value is no object, or holds anything but non-negative whole numbers. Thread-safe.
std::optional<std::map<std::string, std::uint64_t>> countsFromJson(const Json::Value &value);
/// Member @p key of @p object as a boolean; @p fallback when absent or of another type. Thread-safe.
bool boolMember(const Json::Value &object, const char *key, bool fallback);

}
