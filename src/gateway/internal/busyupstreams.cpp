#include "gateway/internal/busyupstreams.h"

#include <algorithm>

namespace rosemaryshift::gateway {

namespace {

/// Range of a mean speed of which use is made; few samples may give any.
constexpr double MinMeanSpeed = 0.5;
constexpr double MaxMeanSpeed = 2;

}

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

double meanUpstreamSpeed(const GatewayContext &context, std::string_view service, TimePoint now)
{
    const std::shared_ptr<const routing::RouteTable> &table = context.configuration.table();
    if (!table || !table->hasYieldingSingleAttempts(service)) {
        return 1;
    }
    double sum = 0;
    std::size_t count = 0;
    for (const auto &[instance, upstream] : context.directory.all()) {
        if (upstream.entry.service == service && !upstream.leaving) {
            sum += context.balancer.speed(service, instance, now);
            ++count;
        }
    }
    return count == 0 ? 1 : std::clamp(sum / static_cast<double>(count), MinMeanSpeed, MaxMeanSpeed);
}

}
