#include "gossip/statuspacing.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <functional>

namespace rosemaryshift::gossip {

std::vector<StatusBatch> pacedBatches(const std::string &ownAddress, const std::set<std::string> &addresses, Duration interval)
{
    const std::uint64_t own = std::hash<std::string>()(ownAddress);
    std::vector<std::pair<std::uint64_t, std::string>> ordered;
    ordered.reserve(addresses.size());
    for (const std::string &address : addresses) {
        ordered.emplace_back(rendezvousWeight(own, address), address);
    }
    std::ranges::sort(ordered);
    const std::size_t count = (ordered.size() + MaxStatusesAtOnce - 1) / MaxStatusesAtOnce;
    std::vector<StatusBatch> batches(count);
    for (std::size_t index = 0; index < ordered.size(); ++index) {
        StatusBatch &batch = batches[index * count / ordered.size()];
        batch.addresses.push_back(std::move(ordered[index].second));
    }
    for (std::size_t index = 0; index < count; ++index) {
        batches[index].delay = interval * static_cast<Duration::rep>(index) / static_cast<Duration::rep>(count);
    }
    return batches;
}

}
