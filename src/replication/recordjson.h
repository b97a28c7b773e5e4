#pragma once

#include "replication/replicationtypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::replication {

/// A record with its chunks from number @p from on; what is left of its deadline is counted from @p now. Thread-safe.
Json::Value toJson(const ReplicaRecord &record, std::size_t from, std::chrono::steady_clock::time_point now);
/// Reads a record; nothing when malformed. Thread-safe.
std::optional<ReplicaRecord> recordFromJson(const Json::Value &value, std::chrono::steady_clock::time_point now);

}
