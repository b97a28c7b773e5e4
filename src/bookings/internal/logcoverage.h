#pragma once

#include "bookings/ibookingcoordinator.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rosemaryshift::bookings {

/// Tracks whether this host has read every log record of the key window, and below which offset it may forget records. Not thread-safe.
class LogCoverage
{
public:
    explicit LogCoverage(const BookingPolicy &policy);

    /// Notes that the record at @p offset was read at @p now, @p age after its creation.
    void noteRecord(std::uint64_t offset, Duration age, TimePoint now);
    /// Notes that a page of the log was read.
    void noteRead(const LogRead &event, TimePoint now);
    /// Notes that the log dropped records that this host had not read.
    void noteGap(const LogGap &event);
    /// True once every record that the log held when this host started was read.
    [[nodiscard]] bool caughtUp() const;
    /// True when this host has missed no record of the key window that ends at @p now.
    [[nodiscard]] bool coversKeyWindow(TimePoint now) const;
    /// Offset below which all records are older than the key window and dropped from the log. Precondition: called regularly, with increasing @p now.
    std::uint64_t forgetBefore(TimePoint now);

private:
    /// Offset up to which the log was read at a time.
    struct Position {
        TimePoint at;
        std::uint64_t next = 0;
    };

    const Duration m_keyWindow;
    const Duration m_clockSkew;
    std::deque<Position> m_positions; ///< Positions noted within the key window, oldest first.
    std::uint64_t m_next = 0;         ///< Offset of the next record to read.
    std::uint64_t m_oldest = 0;       ///< Offset of the oldest record that the log retains.
    bool m_caughtUp = false;
    bool m_gap = false;                      ///< The log has dropped unread records.
    std::optional<TimePoint> m_coveredSince; ///< After a gap: all records created since this time were read.
};

}
