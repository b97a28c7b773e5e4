#include "limits/usagewindow.h"

#include <algorithm>

namespace rosemaryshift::limits {

namespace {

/// Number of slices of a window.
constexpr int Slices = 160;

}

UsageWindow::UsageWindow(Duration length)
    : m_length(length)
    , m_slice(std::max(length / Slices, Duration(1)))
    , m_amounts(1, 0.0)
{
}

std::int64_t UsageWindow::sliceOf(TimePoint time) const
{
    return time.time_since_epoch() / m_slice;
}

void UsageWindow::advance(TimePoint now)
{
    const std::int64_t last = sliceOf(now);
    const std::int64_t first = sliceOf(now - m_length);
    if (m_first + static_cast<std::int64_t>(m_amounts.size()) <= first) {
        m_amounts.assign(1, 0.0);
        m_first = first;
        m_total = 0;
    }
    while (m_first < first) {
        m_total -= m_amounts.front();
        m_amounts.pop_front();
        ++m_first;
    }
    const std::int64_t missing = last - m_first + 1 - static_cast<std::int64_t>(m_amounts.size());
    if (missing > 0) {
        m_amounts.insert(m_amounts.end(), static_cast<std::size_t>(missing), 0.0);
    }
}

void UsageWindow::add(TimePoint from, TimePoint to, double amount)
{
    const std::int64_t end = m_first + static_cast<std::int64_t>(m_amounts.size()) - 1;
    const std::int64_t last = std::min(sliceOf(to), end);
    const std::int64_t first = std::min(sliceOf(from), last);
    const double part = amount / static_cast<double>(last - first + 1);
    for (std::int64_t slice = std::max(first, m_first); slice <= last; ++slice) {
        m_amounts[static_cast<std::size_t>(slice - m_first)] += part;
        m_total += part;
    }
}

void UsageWindow::scale(double factor)
{
    for (double &amount : m_amounts) {
        amount *= factor;
    }
    m_total *= factor;
}

double UsageWindow::total() const
{
    return m_total;
}

double UsageWindow::before(TimePoint time) const
{
    const std::int64_t end = std::min(sliceOf(time) - m_first, static_cast<std::int64_t>(m_amounts.size()));
    double sum = 0;
    for (std::int64_t slice = 0; slice < end; ++slice) {
        sum += m_amounts[static_cast<std::size_t>(slice)];
    }
    return sum;
}

double UsageWindow::since(TimePoint time) const
{
    const std::int64_t begin = std::max<std::int64_t>(sliceOf(time) - m_first, 0);
    double sum = 0;
    for (std::int64_t slice = static_cast<std::int64_t>(m_amounts.size()) - 1; slice >= begin; --slice) {
        sum += m_amounts[static_cast<std::size_t>(slice)];
    }
    return sum;
}

Duration UsageWindow::timeUntilLeft(double amount, TimePoint now) const
{
    double left = 0;
    for (std::size_t slice = 0; slice < m_amounts.size(); ++slice) {
        left += m_amounts[slice];
        if (left >= amount) {
            const TimePoint end(m_slice * (m_first + static_cast<std::int64_t>(slice) + 1));
            return std::clamp(end + m_length - now, Duration::zero(), m_length);
        }
    }
    return m_length;
}

}
