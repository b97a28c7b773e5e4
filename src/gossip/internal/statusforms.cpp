#include "gossip/internal/statusforms.h"

#include <algorithm>

namespace rosemaryshift::gossip {

namespace {

/// Share of the interval for each peer: a host sends and receives at most 125 statuses a second.
constexpr std::chrono::milliseconds IntervalPerPeer{8};
/// Longest interval while hosts of earlier software versions listen; one of two statuses in a row may be lost then.
constexpr std::chrono::milliseconds LongestIntervalForEarlierVersions{550};
/// Longest interval, and the longest that is believed of a peer.
constexpr std::chrono::milliseconds LongestInterval{10'000};

}

std::chrono::milliseconds statusInterval(std::size_t peers, bool withEarlierVersions)
{
    const std::chrono::milliseconds longest = withEarlierVersions ? LongestIntervalForEarlierVersions : LongestInterval;
    return std::clamp(IntervalPerPeer * static_cast<std::int64_t>(std::min<std::size_t>(peers, LongestInterval.count())), ShortestStatusInterval, longest);
}

std::chrono::milliseconds boundedInterval(std::uint64_t milliseconds)
{
    const std::uint64_t longest = static_cast<std::uint64_t>(LongestInterval.count());
    return std::max(std::chrono::milliseconds(std::min(milliseconds, longest)), ShortestStatusInterval);
}

std::string hostStart(const std::string &host, const std::string &start)
{
    return host + "/" + start;
}

std::optional<PeerStatus> decodedPeerStatus(std::string_view datagram)
{
    return isCompactStatus(datagram) ? decodedCompactStatus(datagram) : decodedJsonStatus(datagram);
}

}
