#pragma once

#include "base/types.h"

#include <cstdint>
#include <deque>

namespace rosemaryshift::limits {

/// Amounts of the last seconds by the time at which they arose, in slices of a fixed length. Not thread-safe.
class UsageWindow
{
public:
    /// @p length: how long an amount is kept; positive.
    explicit UsageWindow(Duration length);

    /// Drops the amounts that have left the window at @p now. Amounts are kept until the whole slice has left.
    void advance(TimePoint now);
    /// Adds @p amount, evenly spread from @p from to @p to; the part from before the window is dropped. Precondition: @p to is not after the time that was
    /// last passed to advance(). A negative amount takes back what was added.
    void add(TimePoint from, TimePoint to, double amount);
    /// Multiplies all amounts.
    void scale(double factor);

    /// Sum of all amounts.
    [[nodiscard]] double total() const;
    /// Sum of the amounts that arose before @p time.
    [[nodiscard]] double before(TimePoint time) const;
    /// Sum of the amounts that arose at @p time or later, those of its whole slice included.
    [[nodiscard]] double since(TimePoint time) const;
    /// Time from @p now until @p amount has left the window; the length of the window when that is more than all.
    [[nodiscard]] Duration timeUntilLeft(double amount, TimePoint now) const;

private:
    [[nodiscard]] std::int64_t sliceOf(TimePoint time) const;

    Duration m_length;
    Duration m_slice;
    std::int64_t m_first = 0; ///< Number of the first slice.
    std::deque<double> m_amounts;
    double m_total = 0;
};

}
