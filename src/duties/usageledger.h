#pragma once

#include "base/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace rosemaryshift::duties {

/// Requests of each workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// Requests that began to run, counted by windows of the time of day. Not thread-safe.
class UsageLedger
{
public:
    explicit UsageLedger(Duration window);

    /// A request of @p workspace began to run at @p sinceEpoch, counted from the start of 1970.
    void count(const std::string &workspace, Duration sinceEpoch);
    /// Number of the window that @p sinceEpoch lies in.
    [[nodiscard]] std::uint64_t windowAt(Duration sinceEpoch) const;
    /// End of a window since the start of 1970.
    [[nodiscard]] Duration endOf(std::uint64_t window) const;
    /// The last windows with their counts.
    [[nodiscard]] const std::map<std::uint64_t, UsageCounts> &windows() const;

private:
    const Duration m_window;
    std::map<std::uint64_t, UsageCounts> m_windows;
};

/// What all hosts have counted, as far as this host has heard. Counts only grow, so that news may come late, twice or out of order.
/// Not thread-safe.
class UsageCollector
{
public:
    /// Takes what one start of a host has counted in a window so far.
    void note(const std::string &hostStart, std::uint64_t window, const UsageCounts &counts);
    /// The sum of all hosts.
    [[nodiscard]] UsageCounts total(std::uint64_t window) const;
    /// What each start of a host has counted in a window.
    [[nodiscard]] const std::map<std::string, UsageCounts> &starts(std::uint64_t window) const;
    /// Forgets the windows before @p window.
    void dropBefore(std::uint64_t window);

private:
    std::map<std::uint64_t, std::map<std::string, UsageCounts>> m_windows;
};

}
