#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace rosemaryshift::gossip {

/// Chooses the host processes whose usage counts this host passes on to its peers since they are not heard any more. Few at a time, by turns: a host
/// that is late hears none of its peers in time, and a status with the counts of all of them would make it and the others later still. Not thread-safe.
class UsageRelay
{
public:
    /// Number of processes whose counts are in one status at most.
    static constexpr std::size_t MaxProcesses = 4;

    /// @p own: the process of this host, so that the hosts begin with different ones.
    explicit UsageRelay(std::string own);

    /// The processes whose counts go into the next status, out of @p unheard.
    [[nodiscard]] std::set<std::string> next(const std::set<std::string> &unheard);

private:
    std::string m_last; ///< The last process of the previous choice.
};

}
