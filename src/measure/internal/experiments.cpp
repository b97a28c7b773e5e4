#include "measure/experiments.h"

namespace rosemaryshift::measure {

using decisions::PolicySettings;
using decisions::QueuePolicy;
using decisions::RoutingPolicy;

namespace {

NamedPolicy baseline(std::string name, RoutingPolicy routing, QueuePolicy queue)
{
    PolicySettings settings;
    settings.routing = routing;
    settings.queue = queue;
    settings.estimateStart = false;
    settings.hedgeShare = 0;
    settings.retryShare = 100;
    return {std::move(name), settings};
}

Experiment atLoad(std::string name, double load, double planLoad)
{
    Experiment experiment;
    experiment.name = std::move(name);
    experiment.load = load;
    experiment.planLoad = planLoad;
    return experiment;
}

Experiment slowed(std::string name, std::uint32_t count, double share)
{
    Experiment experiment = atLoad(std::move(name), 0.5, 0.5);
    experiment.slowedCount = count;
    experiment.slowedShare = share;
    experiment.reportLag = std::chrono::seconds(2);
    return experiment;
}

}

std::vector<NamedPolicy> allPolicies()
{
    return {
        {"rosemaryshift", {}},
        baseline("random", RoutingPolicy::Random, QueuePolicy::FairByWorkspace),
        baseline("round-robin", RoutingPolicy::RoundRobin, QueuePolicy::FairByWorkspace),
        baseline("least-in-flight", RoutingPolicy::LeastInFlight, QueuePolicy::FairByWorkspace),
        baseline("first-come", RoutingPolicy::LeastInFlight, QueuePolicy::FirstCome),
    };
}

std::vector<Experiment> allExperiments()
{
    std::vector<Experiment> experiments{
        atLoad("load-0.5", 0.5, 0.5),
        atLoad("load-0.9", 0.9, 0.9),
        atLoad("load-1", 1, 1),
        atLoad("load-1.1", 1.1, 1.1),
        atLoad("load-1.2", 1.2, 1.2),
        atLoad("load-1.4", 1.4, 1.4),
        atLoad("load-2", 2, 2),
        atLoad("load-4", 4, 4),
        atLoad("no-plans", 0.4, 0),
        atLoad("behind-plans", 0.4, 2),
        slowed("slow-none", 0, 0),
        slowed("slow-1", 1, 0),
        slowed("slow-2", 2, 0),
        slowed("slow-third", 0, 1.0 / 3),
    };
    Experiment reclaim = atLoad("reclaim-zone", 0.5, 0.5);
    reclaim.reclaimZone = true;
    experiments.push_back(reclaim);
    Experiment outage = atLoad("outage-10s", 0.9, 0.9);
    outage.outage = true;
    experiments.push_back(outage);
    Experiment flood = atLoad("flood", 0.5, 0.5);
    flood.floodFactor = 10;
    experiments.push_back(flood);
    return experiments;
}

}
