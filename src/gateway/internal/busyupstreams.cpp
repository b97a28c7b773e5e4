#include "gateway/internal/busyupstreams.h"

#include <algorithm>

namespace rosemaryshift::gateway {

std::map<std::string, double> localBusyUpstreams(const GatewayContext &context, TimePoint now)
{
    std::map<std::string, double> busy;
    const std::shared_ptr<const routing::RouteTable> &table = context.configuration.table();
    if (!table) {
        return busy;
    }
    std::map<std::string, std::uint32_t> running;
    for (const auto &[instance, outstanding] : context.balancer.outstanding()) {
        if (const directory::Upstream *const upstream = context.directory.find(instance)) {
            running[upstream->entry.service] += outstanding.running;
        }
    }
    for (const routing::Service &service : table->configuration().services) {
        if (!service.engine) {
            continue;
        }
        const double prefill = context.balancer.prefillRate(service.name, now) * context.balancer.prefillCost(service.name) / 1e6;
        const double batchSlots = static_cast<double>(running[service.name]) / std::max(1U, service.engine->slots);
        busy[service.name] = prefill + batchSlots;
    }
    return busy;
}

}
