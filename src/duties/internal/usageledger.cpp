#include "duties/usageledger.h"

#include <algorithm>

namespace rosemaryshift::duties {

namespace {

/// Number of windows kept in memory; a window is reported long before it is removed.
constexpr std::size_t MaxWindows = 6;

}

UsageLedger::UsageLedger(Duration window)
    : m_windowLength(std::max(window, Duration(std::chrono::seconds(1))))
{
}

void UsageLedger::count(const std::string &workspace, Duration sinceEpoch)
{
    ++m_windows[windowAt(sinceEpoch)][workspace];
    while (m_windows.size() > MaxWindows) {
        m_windows.erase(m_windows.begin());
    }
}

std::uint64_t UsageLedger::windowAt(Duration sinceEpoch) const
{
    return static_cast<std::uint64_t>(std::max<Duration::rep>(sinceEpoch / m_windowLength, 0));
}

Duration UsageLedger::endOf(std::uint64_t window) const
{
    return m_windowLength * static_cast<Duration::rep>(window + 1);
}

std::uint64_t UsageLedger::earliestDue(Duration sinceEpoch, Duration reportDelay) const
{
    return windowAt(sinceEpoch - 2 * reportDelay);
}

const std::map<std::uint64_t, UsageCounts> &UsageLedger::windows() const
{
    return m_windows;
}

void UsageCollector::note(const std::string &hostStart, std::uint64_t window, const UsageCounts &counts)
{
    UsageCounts &known = m_windows[window][hostStart];
    for (const auto &[workspace, requests] : counts) {
        std::uint64_t &value = known[workspace];
        value = std::max(value, requests);
    }
}

UsageCounts UsageCollector::total(std::uint64_t window) const
{
    UsageCounts sum;
    const auto found = m_windows.find(window);
    if (found == m_windows.end()) {
        return sum;
    }
    for (const auto &[hostStart, counts] : found->second) {
        for (const auto &[workspace, requests] : counts) {
            sum[workspace] += requests;
        }
    }
    return sum;
}

const std::map<std::string, UsageCounts> &UsageCollector::countsByProcess(std::uint64_t window) const
{
    static const std::map<std::string, UsageCounts> None;
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? None : found->second;
}

void UsageCollector::dropBefore(std::uint64_t window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

std::size_t UsageCollector::windows() const
{
    return m_windows.size();
}

}
