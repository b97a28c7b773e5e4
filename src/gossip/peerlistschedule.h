#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace rosemaryshift::gossip {

/// Decides which of a host's statuses contain the list of the peers that it hears. The list is longer than the rest of a status when there are hundreds of
/// peers, of which some fall silent and are heard again at nearly any time. Not thread-safe.
class PeerListSchedule
{
public:
    /// Whether the next status contains the list. The list goes into two of StatusesPerList statuses, since datagrams are lost, and at once when receivers
    /// have to learn of a change: @p heard contains an address that was not listed yet, or an address that was is not in @p known any more.
    /// @p heard: addresses of the peers that are heard. @p known: those of all known peers, the silent ones included.
    bool nextContainsList(std::span<const std::string> heard, const std::set<std::string> &known);

    static constexpr std::uint32_t StatusesPerList = 10;

private:
    std::set<std::string> m_listed;    ///< Addresses of known peers that were in a list.
    std::uint32_t m_statusesSince = 0; ///< Statuses since the last list that was due by itself; one more list follows it.
    bool m_begun = false;
};

}
