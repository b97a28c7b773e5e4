#pragma once

#include "base/types.h"
#include "requests/requesttypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rosemaryshift::bookings {

/// Log record by which a host claims the right to run the booking with a key.
struct ClaimRecord {
    std::string key;       ///< Digest of the caller's key, its workspace and service; see keyDigest().
    std::string claim;     ///< Claim id, unique over all hosts and incarnations.
    std::string owner;     ///< Host and incarnation that may dispatch the booking if the claim wins.
    std::string digest;    ///< Digest of the request, which detects a different request with the same key.
    std::int64_t atMs = 0; ///< Milliseconds since 1970 by the claiming host's wall clock.
};

/// Log record by which the owner of a claim gives it up and promises never to dispatch under it; the key may then be claimed again.
struct ReleaseRecord {
    std::string key;       ///< Digest of the caller's key, its workspace and service.
    std::string claim;     ///< Id of the claim that is given up.
    std::int64_t atMs = 0; ///< Milliseconds since 1970 by the releasing host's wall clock.
};

/// Result of running a booking under a claim or a ticket.
struct Outcome {
    std::string digest;                            ///< Digest of the request.
    RunState run = RunState::Unknown;              ///< Either Ran or Unknown.
    std::optional<requests::ServiceAnswer> answer; ///< Absent when the outcome is unknown or the answer is too large to store.
};

/// Log record by which the owner of a claim or ticket reports the outcome of the booking.
struct OutcomeRecord {
    std::string key;   ///< Digest of the caller's key, its workspace and service.
    std::string claim; ///< Id of the claim; empty for a ticket, which needs no claim.
    Outcome outcome;
    std::int64_t atMs = 0; ///< Milliseconds since 1970 by the owner's wall clock.
};

using BookingRecord = std::variant<ClaimRecord, ReleaseRecord, OutcomeRecord>;

/// Key digest of @p record.
const std::string &keyOf(const BookingRecord &record);
/// Time at which @p record was created, in milliseconds since 1970 by the wall clock of the host that created it.
std::int64_t createdAtMs(const BookingRecord &record);

/// Serializes @p record as one JSON line for the platform's log. Thread-safe.
std::string toRecord(const BookingRecord &record);
/// Parses one line of the platform's log; nothing when it is not a well-formed booking record. Thread-safe.
std::optional<BookingRecord> bookingFromRecord(std::string_view record);

}
