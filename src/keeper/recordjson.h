#pragma once

#include "keeper/keepertypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::keeper {

/// A record with its pieces from number @p from on; what is left of its deadline is counted from @p now. Thread-safe.
Json::Value toJson(const KeptRecord &record, std::size_t from, std::chrono::steady_clock::time_point now);
/// Reads a record; nothing when malformed. Thread-safe.
std::optional<KeptRecord> recordFromJson(const Json::Value &value, std::chrono::steady_clock::time_point now);

}
