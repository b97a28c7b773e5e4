#include "measure/internal/workload.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::measure {

namespace {

double totalWeight(const Scenario &scenario)
{
    double sum = 0;
    for (const WorkspaceLoad &workspace : scenario.workspaces) {
        sum += workspace.weight;
    }
    return sum;
}

}

std::vector<Arrival> makeArrivals(const Scenario &scenario, const Experiment &experiment, Duration length, std::mt19937_64 &random)
{
    std::vector<Arrival> arrivals;
    std::uniform_int_distribution<std::uint32_t> host(0, scenario.entryHosts - 1);
    for (std::uint32_t workspace = 0; workspace < scenario.workspaces.size(); ++workspace) {
        for (std::size_t i = 0; i < scenario.classes.size(); ++i) {
            const ClassLoad &load = scenario.classes[i];
            const double factor = load.trafficClass == TrafficClass::Plan ? experiment.planLoad : experiment.load;
            const double flood = workspace == 0 ? experiment.floodFactor : 1;
            const double rate = scenario.capacity() * load.share * factor * flood * scenario.workspaces[workspace].weight / totalWeight(scenario);
            if (rate <= 0) {
                continue;
            }
            std::exponential_distribution<double> gap(rate);
            std::lognormal_distribution<double> tokens(std::log(load.medianTokens), load.spread);
            const std::uint64_t prefixHash = workspace * scenario.classes.size() + i + 1;
            for (double at = gap(random); at < std::chrono::duration<double>(length).count(); at += gap(random)) {
                const TimePoint time(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
                const std::uint32_t count = std::max(static_cast<std::uint32_t>(std::lround(tokens(random))), 1U);
                arrivals.push_back({time, host(random), workspace, &load, count, prefixHash});
            }
        }
    }
    std::ranges::stable_sort(arrivals, {}, &Arrival::at);
    return arrivals;
}

}
