#pragma once

#include "requests/requesttypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::bookings {

/// An idempotency key issued by an entry host. It names the only host incarnation that may run the booking, so no claim in the log is needed.
struct Ticket {
    std::string owner;           ///< Host and incarnation that issued the ticket.
    std::int64_t mintedAtMs = 0; ///< Milliseconds since 1970 by the owner's wall clock.
};

/// SHA-256, in hexadecimal, of a booking's workspace, service and idempotency key. Thread-safe.
std::string keyDigest(const requests::RequestSpec &spec);
/// SHA-256, in hexadecimal, of a request's method, path and body. Thread-safe.
std::string requestDigest(const requests::RequestSpec &spec);

/// Creates a unique ticket of @p owner, issued at @p nowMs (milliseconds since 1970). Thread-safe.
std::string mintTicket(std::string_view owner, std::int64_t nowMs);
/// True when @p key starts with the prefix reserved for tickets, which callers must not use for keys of their own. Thread-safe.
bool hasTicketPrefix(std::string_view key);
/// Parses a ticket; nothing when @p key is not a well-formed one. Thread-safe.
std::optional<Ticket> parseTicket(std::string_view key);
/// Creation time of a key in milliseconds since 1970, if the key contains it, as a ticket or a UUID of version 7 (RFC 9562) does. Thread-safe.
std::optional<std::int64_t> keyCreatedAtMs(std::string_view key);

}
