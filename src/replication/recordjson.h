#pragma once

#include "replication/replicationtypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::replication {

/// Serializes a record with its chunks from index @p from on. The deadline becomes the time left at @p now, in milliseconds. Thread-safe.
Json::Value toJson(const ReplicaRecord &record, std::size_t from, std::chrono::steady_clock::time_point now);
/// Parses a record; nothing when it is malformed. The time left until the deadline is counted from @p now. Thread-safe.
std::optional<ReplicaRecord> recordFromJson(const Json::Value &value, std::chrono::steady_clock::time_point now);

}
