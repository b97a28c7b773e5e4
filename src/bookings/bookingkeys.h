#pragma once

#include "requests/requesttypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::bookings {

/// An idempotency key that names the one host incarnation that may run it, so that no claim in the log is needed.
struct Ticket {
    std::string owner;
    std::int64_t mintedAtMs = 0; ///< Milliseconds since 1970 on the owner.
};

/// Digest of a booking's key, scoped by its workspace and service. Thread-safe.
std::string keyDigest(const requests::RequestSpec &spec);
/// Digest of what is asked of the service. Thread-safe.
std::string requestDigest(const requests::RequestSpec &spec);

/// Mints a ticket of @p owner that no other ticket equals. Thread-safe.
std::string mintTicket(std::string_view owner, std::int64_t nowMs);
/// True when @p key claims to be a ticket; such keys cannot be chosen by callers. Thread-safe.
bool hasTicketPrefix(std::string_view key);
/// Reads a ticket; nothing when malformed. Thread-safe.
std::optional<Ticket> parseTicket(std::string_view key);
/// When a key was made, in milliseconds since 1970, if it says so: a ticket or a UUID of version 7 (RFC 9562). Thread-safe.
std::optional<std::int64_t> keyCreatedAtMs(std::string_view key);

}
