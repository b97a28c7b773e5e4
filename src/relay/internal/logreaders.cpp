#include "relay/logreaders.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <functional>
#include <map>

namespace rosemaryshift::relay {

namespace {

/// Number of hosts in an availability zone up to which each of them reads the log itself.
constexpr std::size_t LargestZoneWithoutReaders = 8;
/// Number of readers in a small zone.
constexpr std::size_t MinReaders = 2;
/// Number of hosts for which a further reader is added.
constexpr std::size_t HostsPerReader = 24;
/// Key under which the hosts of a zone are ranked as readers.
constexpr std::uint64_t ReaderKey = 1;

std::vector<std::string> ranked(std::uint64_t key, std::span<const std::string> hosts)
{
    std::vector<std::string> order(hosts.begin(), hosts.end());
    std::ranges::sort(order, std::ranges::greater(), [key](const std::string &host) { return std::pair(rendezvousWeight(key, host), host); });
    return order;
}

}

std::size_t readerCount(std::size_t zoneHosts)
{
    return zoneHosts <= LargestZoneWithoutReaders ? 0 : std::max(MinReaders, (zoneHosts + HostsPerReader - 1) / HostsPerReader);
}

std::vector<std::string> readersFor(const std::string &ownHost, std::span<const ZoneHost> zoneHosts)
{
    std::vector<std::string> names;
    std::map<std::string, std::uint64_t> links;
    for (const ZoneHost &host : zoneHosts) {
        names.push_back(host.name);
        links[host.name] = host.linkMegabits;
    }
    std::vector<std::string> readers = ranked(ReaderKey, names);
    std::ranges::stable_sort(readers, std::ranges::greater(), [&links](const std::string &host) { return links[host]; });
    readers.resize(readerCount(zoneHosts.size()));
    if (std::ranges::find(readers, ownHost) != readers.end()) {
        return {};
    }
    return ranked(std::hash<std::string>()(ownHost), readers);
}

}
