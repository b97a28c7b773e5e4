#pragma once

#include "base/types.h"
#include "requests/requesttypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rosemaryshift::bookings {

/// A host claims the right to run the booking under a key.
struct ClaimRecord {
    std::string key;       ///< Digest that scopes the caller's key to its workspace and service.
    std::string claim;     ///< Unique over all hosts and incarnations.
    std::string owner;     ///< Host and incarnation that may dispatch if the claim wins.
    std::string digest;    ///< Of the request, so that another request under the same key is told apart.
    std::int64_t atMs = 0; ///< Milliseconds since 1970 on the claiming host.
};

/// The owner promises never to dispatch under a claim; the key may be claimed anew.
struct ReleaseRecord {
    std::string key;
    std::string claim;
    std::int64_t atMs = 0;
};

/// How the run under a claim or a ticket ended.
struct Outcome {
    std::string digest;
    RunState run = RunState::Unknown;              ///< Ran or Unknown.
    std::optional<requests::ServiceAnswer> answer; ///< Absent when unknown or too large to keep.
};

struct OutcomeRecord {
    std::string key;
    std::string claim; ///< Empty for a ticket, which needs no claim.
    Outcome outcome;
    std::int64_t atMs = 0;
};

using BookingRecord = std::variant<ClaimRecord, ReleaseRecord, OutcomeRecord>;

/// Digest of the key that @p record is about.
const std::string &keyOf(const BookingRecord &record);
/// When @p record was made, in milliseconds since 1970 on the host that made it.
std::int64_t createdAtMs(const BookingRecord &record);

/// One line of the platform's log. Thread-safe.
std::string toRecord(const BookingRecord &record);
/// Reads a line of the platform's log; nothing when it is no booking record. Thread-safe.
std::optional<BookingRecord> bookingFromRecord(std::string_view record);

}
