#pragma once

#include "membership/membershiptypes.h"

#include <json/value.h>

#include <optional>

namespace rosemaryshift::membership {

/// The part of a heartbeat that describes its sender. Thread-safe.
Json::Value toJson(const Peer &peer);
/// Reads the sender of a heartbeat; nothing when malformed. Thread-safe.
std::optional<Peer> peerFromJson(const Json::Value &value);

}
