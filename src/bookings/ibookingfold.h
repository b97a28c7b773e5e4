#pragma once

#include "bookings/bookingtypes.h"

#include <cstdint>
#include <memory>

namespace rosemaryshift::bookings {

enum class BookingState : std::uint8_t {
    Claimed,  ///< One owner may dispatch, or has dispatched.
    Released, ///< Never dispatched under its last claim; may be claimed anew.
    Ended,    ///< Its outcome is known.
};

/// What the log says of one key.
struct BookingRow {
    BookingState state = BookingState::Claimed;
    std::string claim;
    std::string owner;
    std::string digest;
    std::uint64_t lastOffset = 0; ///< Of the last record about this key.
    Outcome outcome;              ///< Once it has ended.
};

enum class RecordVerdict : std::uint8_t {
    Effective,
    Lost, ///< A claim that another came before, or a release or outcome of a claim that does not hold the key.
};

/// Deterministic fold over the log's booking records: the same records give the same rows on every host. Does no I/O.
/// Not thread-safe.
class IBookingFold
{
public:
    virtual ~IBookingFold() = default;

    /// Takes in one record. Precondition: @p offset is greater than that of the record before.
    virtual RecordVerdict apply(std::uint64_t offset, const BookingRecord &record) = 0;
    /// The row of @p key; null when no record was about it. Valid until the next call of apply() or forget().
    [[nodiscard]] virtual const BookingRow *find(std::string_view key) const = 0;
    /// Drops the rows about which no record stands at or behind @p oldest.
    virtual void forget(std::uint64_t oldest) = 0;
    [[nodiscard]] virtual std::size_t size() const = 0;
};

std::unique_ptr<IBookingFold> makeBookingFold();

}
