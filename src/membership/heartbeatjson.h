#pragma once

#include "membership/membershiptypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::membership {

/// Serializes the part of a heartbeat that describes its sender. Thread-safe.
Json::Value toJson(const Peer &peer);
/// Parses the part of a heartbeat that describes its sender; nothing when it is malformed. Thread-safe.
std::optional<Peer> peerFromJson(const Json::Value &value);

}
