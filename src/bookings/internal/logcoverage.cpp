#include "bookings/internal/logcoverage.h"

#include <algorithm>

namespace rosemaryshift::bookings {

LogCoverage::LogCoverage(const BookingPolicy &policy)
    : m_keyWindow(policy.keyWindow)
    , m_clockSkew(policy.clockSkew)
{
}

void LogCoverage::noteRecord(std::uint64_t offset, Duration age, TimePoint now)
{
    m_next = offset + 1;
    if (m_gap && !m_coveredSince) {
        m_coveredSince = std::min(now, now - age + m_clockSkew);
    }
}

void LogCoverage::noteRead(const LogRead &event, TimePoint now)
{
    m_next = std::max(m_next, event.next);
    m_oldest = std::max(m_oldest, event.oldest);
    m_caughtUp = m_caughtUp || event.caughtUp;
    if (m_gap && !m_coveredSince) {
        m_coveredSince = now;
    }
}

void LogCoverage::noteGap(const LogGap &event)
{
    m_gap = true;
    m_coveredSince.reset();
    m_oldest = std::max(m_oldest, event.oldest);
    m_next = std::max(m_next, event.oldest);
}

bool LogCoverage::caughtUp() const
{
    return m_caughtUp;
}

bool LogCoverage::coversKeyWindow(TimePoint now) const
{
    return !m_gap || (m_coveredSince && *m_coveredSince + m_keyWindow <= now);
}

std::uint64_t LogCoverage::forgetBefore(TimePoint now)
{
    m_positions.push_back({now, m_next});
    std::uint64_t readBeforeWindow = 0;
    while (!m_positions.empty() && m_positions.front().at + m_keyWindow + m_clockSkew < now) {
        readBeforeWindow = m_positions.front().next;
        m_positions.pop_front();
    }
    return std::min(m_oldest, readBeforeWindow);
}

}
