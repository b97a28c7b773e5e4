#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace rosemaryshift::duties {

/// Number of requests, by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Counts the requests that began to run on this host, by reporting window of wall-clock time. Not thread-safe.
class UsageLedger
{
public:
    /// @p window is the length of a reporting window; at least 1 s is used.
    explicit UsageLedger(Duration window);

    /// Counts a request of @p workspace that began to run at @p sinceEpoch, the time since the Unix epoch.
    void count(const std::string &workspace, Duration sinceEpoch);
    /// Number of the window that contains @p sinceEpoch, the time since the Unix epoch.
    [[nodiscard]] std::uint64_t windowAt(Duration sinceEpoch) const;
    /// End of @p window, as time since the Unix epoch.
    [[nodiscard]] Duration endOf(std::uint64_t window) const;
    /// The earliest window whose report is not long overdue at @p sinceEpoch, when reports are due @p reportDelay after the end of their window. As late again
    /// counts as long, since the wall clock may jump by seconds.
    [[nodiscard]] std::uint64_t earliestDue(Duration sinceEpoch, Duration reportDelay) const;
    /// Counts of the most recent windows, by window number; older windows are removed.
    [[nodiscard]] const std::map<std::uint64_t, UsageCounts> &windows() const;

private:
    const Duration m_windowLength;
    std::map<std::uint64_t, UsageCounts> m_windows;
};

/// Collects the request counts that all hosts have reported to this one. Counts only grow, so that reports may arrive late, twice or out of order.
/// Not thread-safe.
class UsageCollector
{
public:
    /// Records the counts of @p window so far, as reported by one process of a host. @p hostStart identifies that process.
    void note(const std::string &hostStart, std::uint64_t window, const UsageCounts &counts);
    /// Sum of the counts of all hosts in @p window.
    [[nodiscard]] UsageCounts total(std::uint64_t window) const;
    /// Counts in @p window, by host process.
    [[nodiscard]] const std::map<std::string, UsageCounts> &countsByProcess(std::uint64_t window) const;
    /// Removes the windows before @p window.
    void dropBefore(std::uint64_t window);
    /// Number of windows of which counts are known.
    [[nodiscard]] std::size_t windows() const;

private:
    std::map<std::uint64_t, std::map<std::string, UsageCounts>> m_windows; ///< By window number and host process.
};

}
