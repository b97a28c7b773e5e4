#pragma once

#include "bookings/ibookingcoordinator.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rosemaryshift::bookings {

/// How much of the log's key window a host has read, and up to which offset its fold may forget. Not thread-safe.
class LogCoverage
{
public:
    explicit LogCoverage(const BookingPolicy &policy);

    /// Notes a record that was read at @p now, @p age after it was made.
    void noteRecord(std::uint64_t offset, Duration age, TimePoint now);
    /// Notes that a page was read.
    void noteRead(const LogRead &event, TimePoint now);
    /// Notes that records were dropped unread.
    void noteGap(const LogGap &event);
    /// True once every record that stood in the log at the start was read.
    [[nodiscard]] bool caughtUp() const;
    /// True when no record of the key window is missing.
    [[nodiscard]] bool covered(TimePoint now) const;
    /// Offset below which no record matters any more. Precondition: called at regular times, with rising @p now.
    std::uint64_t forgettable(TimePoint now);

private:
    /// How far the log was read at a time.
    struct Position {
        TimePoint at;
        std::uint64_t next = 0;
    };

    const Duration m_keyWindow;
    const Duration m_clockSkew;
    std::deque<Position> m_positions; ///< Within the key window, oldest first.
    std::uint64_t m_next = 0;
    std::uint64_t m_oldest = 0;
    bool m_caughtUp = false;
    bool m_gap = false;                      ///< Records were dropped unread.
    std::optional<TimePoint> m_coveredSince; ///< All records made since then were read, when there is a gap.
};

}
