#pragma once

#include "bookings/bookingtypes.h"

#include <cstdint>
#include <memory>

namespace rosemaryshift::bookings {

/// State of a key according to the log records read so far.
enum class BookingState : std::uint8_t {
    Claimed,  ///< The owner of the claim may dispatch the booking or has dispatched it.
    Released, ///< The last claim was given up without dispatch; the key may be claimed again.
    Ended,    ///< The outcome of the booking is known.
};

/// State of one key after all log records read so far.
struct BookingRow {
    BookingState state = BookingState::Claimed;
    std::string claim;            ///< Id of the last claim that took effect; empty for a ticket.
    std::string owner;            ///< Host and incarnation that made that claim.
    std::string digest;           ///< Digest of the request.
    std::uint64_t lastOffset = 0; ///< Log offset of the last claim with the key or applied record, whichever is later; see forget().
    Outcome outcome;              ///< Valid only in the state Ended.
};

/// Whether a log record changed the state of its key.
enum class RecordEffect : std::uint8_t {
    Applied,
    Ignored, ///< A claim on a key that is already taken, or a release or outcome of a claim that does not hold the key.
};

/// Computes the state of each key from the log's booking records. It is deterministic: the same records give the same rows
/// on every host. Does no I/O. Not thread-safe.
class IBookingFold
{
public:
    virtual ~IBookingFold() = default;

    /// Applies the record at @p offset of the log. Precondition: offsets increase from call to call.
    virtual RecordEffect apply(std::uint64_t offset, const BookingRecord &record) = 0;
    /// The row of @p key, or null when there is none. Valid until the next call of apply() or forget().
    [[nodiscard]] virtual const BookingRow *find(std::string_view key) const = 0;
    /// Drops the rows whose lastOffset is less than @p oldest, the offset of the oldest record that still matters.
    virtual void forget(std::uint64_t oldest) = 0;
    /// Number of rows.
    [[nodiscard]] virtual std::size_t size() const = 0;
};

std::unique_ptr<IBookingFold> makeBookingFold();

}
