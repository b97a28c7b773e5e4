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
/// Member @p key of @p object as a non-negative integer; nothing when absent, negative or of another type. Thread-safe.
std::optional<std::uint64_t> unsignedMember(const Json::Value &object, const char *key);
/// A JSON object with one member for each entry of @p counts. Thread-safe.
Json::Value countsToJson(const std::map<std::string, std::uint64_t> &counts);
/// Reads the members of an object as counts; nothing when @p value is not an object or a member is not a non-negative integer. Thread-safe.
std::optional<std::map<std::string, std::uint64_t>> countsFromJson(const Json::Value &value);
/// Member @p key of @p object as a boolean; @p fallback when absent or of another type. Thread-safe.
bool boolMember(const Json::Value &object, const char *key, bool fallback);

}
