#include "duties/upstreamplanner.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::duties {

namespace {

/// Target utilization of a permanent upstream after all reclaimable ones were taken away: its share of ServiceLoad::busyUpstreams. May exceed 1,
/// because an engine batches requests and so carries more than the sum of their times when run alone.
constexpr double AfterReclaimUtilization = 1.05;
/// Target utilization of a permanent upstream while no reclaimable ones can be obtained. Headroom is expensive then, but only permanent upstreams
/// can provide it.
constexpr double PermanentOnlyUtilization = 0.9;
/// As PermanentOnlyUtilization, for services that keep their headroom: the part of the load above it waits while the next upstreams start.
constexpr double PermanentHeadroomUtilization = 0.65;
/// Target utilization of an upstream while all are running, if reclaimable ones cost nothing. A lower utilization shortens the time to the first token.
/// docs/MEASUREMENTS.md has the figures behind this value and PermanentOnlyUtilization.
constexpr double FreeReclaimableUtilization = 0.37;
/// Fraction of the initial upstreams that stays permanent until the load of a service is measured.
constexpr double InitialPermanentFraction = 0.45;
/// Orders follow the highest load within this window, so that they rise at once and fall slowly.
constexpr std::chrono::seconds PeakWindow{8};
/// Upstreams are not scaled down within this time after the load was first measured or the duty was taken over, since the load seems small while
/// callers begin to arrive.
constexpr std::chrono::seconds ObservationTime{5};
/// Before any load is measured, nothing is ordered until the number of listed upstreams has stayed the same for this long.
constexpr std::chrono::seconds StabilizationTime{3};
/// An order is repeated when it has had no effect for this long, for instance because the call was lost.
constexpr std::chrono::seconds OrderRetryInterval{10};
/// After the platform had no reclaimable upstreams to give, more of them are ordered again only after this time.
constexpr std::chrono::seconds UnavailableLifetime{3};

bool offersReclaimables(const routing::ScalingSpec &scaling)
{
    return scaling.reclaimablePrice && *scaling.reclaimablePrice < 1;
}

/// Target utilization of an upstream while all are running: the cheaper reclaimable upstreams are, the lower it is.
double targetUtilization(const routing::ScalingSpec &scaling)
{
    return std::min(PermanentOnlyUtilization,
                    FreeReclaimableUtilization + (PermanentOnlyUtilization - FreeReclaimableUtilization) * scaling.reclaimablePrice.value_or(1));
}

/// Availability zones of @p load, the cheapest first; zones of equal price stay in the order of their names.
std::vector<std::string> zonesByPrice(const routing::ScalingSpec &scaling, const ServiceLoad &load)
{
    std::vector<std::string> zones;
    for (const auto &[zone, replicas] : load.zones) {
        zones.push_back(zone);
    }
    std::stable_sort(zones.begin(), zones.end(), [&scaling](const std::string &left, const std::string &right) {
        const auto price = [&scaling](const std::string &zone) {
            const auto found = scaling.zonePrices.find(zone);
            return found == scaling.zonePrices.end() ? 1.0 : found->second;
        };
        return price(left) < price(right);
    });
    return zones;
}

/// Rounds @p wanted up to whole upstreams and spreads them evenly over @p zones; the first zones get one more each when it does not divide evenly.
std::map<std::string, std::uint32_t> spread(double wanted, const std::vector<std::string> &zones)
{
    const std::size_t whole = static_cast<std::size_t>(std::ceil(wanted));
    std::map<std::string, std::uint32_t> replicas;
    for (std::size_t zone = 0; zone < zones.size(); ++zone) {
        replicas[zones[zone]] = static_cast<std::uint32_t>(whole / zones.size() + (zone < whole % zones.size() ? 1 : 0));
    }
    return replicas;
}

}

void UpstreamPlanner::observe(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    if (!load.measured) {
        observeInitialReplicas(service.name, load, now);
        return;
    }
    m_firstLoadTimes.emplace(service.name, now);
    std::deque<std::pair<TimePoint, double>> &loads = m_recentLoads[service.name];
    loads.emplace_back(now, load.busyUpstreams);
    while (now - loads.front().first > PeakWindow) {
        loads.pop_front();
    }
}

std::vector<ports::ScalingTarget> UpstreamPlanner::plan(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    std::vector<ports::ScalingTarget> orders;
    if (!service.scaling || load.zones.empty() || (!load.measured && !initialReplicasStable(service.name))) {
        return orders;
    }
    const bool reclaimables = offersReclaimables(*service.scaling);
    const bool scalesDown = !load.measured || mayScaleDown(service.name, now);
    for (const auto &[zone, wanted] : wantedReplicas(service, load, now)) {
        const ZoneReplicas &current = load.zones.at(zone);
        std::uint32_t permanent = wanted.permanent;
        std::uint32_t reclaimable = wanted.reclaimable;
        // Permanent upstreams are released only as the reclaimable ones that replace them start running.
        if (permanent < current.permanent) {
            permanent = std::min(current.permanent, permanent + reclaimable - std::min(reclaimable, current.reclaimable));
        }
        // Nor are those that are starting given up for reclaimable ones that may not be to be had.
        if (load.keepsHeadroom && reclaimable > current.reclaimable) {
            permanent = std::max(permanent, std::min(lastOrderedReplicas({service.name, zone, false}), permanent + reclaimable - current.reclaimable));
            reclaimable = std::min(reclaimable, service.scaling->maxReplicas - std::min(permanent, service.scaling->maxReplicas));
        }
        if (!scalesDown) {
            permanent = std::max({permanent, current.permanent, lastOrderedReplicas({service.name, zone, false})});
            reclaimable = std::max({reclaimable, current.reclaimable, lastOrderedReplicas({service.name, zone, true})});
        }
        permanent = std::min(permanent, service.scaling->maxReplicas - std::min(reclaimable, service.scaling->maxReplicas));
        if (reclaimables) {
            addOrder({service.name, zone, true, reclaimable}, current.reclaimable, now, orders);
        }
        addOrder({service.name, zone, false, permanent}, current.permanent, now, orders);
    }
    return orders;
}

std::map<std::string, ZoneReplicas> UpstreamPlanner::wantedReplicas(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    const routing::ScalingSpec &scaling = *service.scaling;
    const bool reclaimables = offersReclaimables(scaling);
    const std::uint32_t minimum = std::min(std::max(1U, scaling.minReplicas), scaling.maxReplicas);
    const double peak = peakLoad(service.name);
    const std::vector<std::string> zones = zonesByPrice(scaling, load);
    const std::map<std::string, std::uint32_t> totals = spread(peak / targetUtilization(scaling), zones);
    const std::map<std::string, std::uint32_t> permanentFloors = spread(peak / AfterReclaimUtilization, zones);
    std::map<std::string, ZoneReplicas> wanted;
    std::uint32_t obtainableReclaimable = 0;
    for (const std::string &zone : zones) {
        // While the load is not measured, the zone keeps its initial number of upstreams, both kinds together.
        const std::uint32_t initial = load.measured ? 0 : m_initialReplicas[service.name].stableByZone[zone];
        const std::uint32_t total = std::clamp(load.measured ? totals.at(zone) : initial, minimum, scaling.maxReplicas);
        const std::uint32_t floor = load.measured ? permanentFloors.at(zone) : static_cast<std::uint32_t>(std::ceil(initial * InitialPermanentFraction));
        const std::uint32_t permanent = std::clamp(floor, minimum, total);
        std::uint32_t reclaimable = total - permanent;
        if (load.keepsHeadroom && load.zones.at(zone).reclaimAnnounced) {
            m_unavailable[{service.name, zone, true}] = now;
        }
        const auto unavailable = m_unavailable.find({service.name, zone, true});
        if (unavailable != m_unavailable.end() && now - unavailable->second < UnavailableLifetime) {
            reclaimable = std::min(reclaimable, load.zones.at(zone).reclaimable);
        }
        wanted[zone] = reclaimables ? ZoneReplicas{permanent, reclaimable} : ZoneReplicas{total, 0};
        obtainableReclaimable += wanted[zone].reclaimable;
    }
    if (reclaimables && load.measured) {
        const double utilization = load.keepsHeadroom ? PermanentHeadroomUtilization : PermanentOnlyUtilization;
        const std::map<std::string, std::uint32_t> permanentOnly = spread(std::max(0.0, peak / utilization - obtainableReclaimable), zones);
        for (auto &[zone, replicas] : wanted) {
            replicas.permanent = std::max(replicas.permanent, std::min(permanentOnly.at(zone), scaling.maxReplicas));
        }
    }
    return wanted;
}

void UpstreamPlanner::addOrder(const ports::ScalingTarget &order, std::uint32_t current, TimePoint now, std::vector<ports::ScalingTarget> &orders)
{
    const auto previous = m_orders.find({order.service, order.zone, order.reclaimable});
    const bool unchanged = previous != m_orders.end() && previous->second.replicas == order.replicas;
    const bool effective = current == order.replicas;
    if (unchanged ? !effective && now - previous->second.at > OrderRetryInterval : !(effective && previous == m_orders.end())) {
        m_orders[{order.service, order.zone, order.reclaimable}] = {order.replicas, now};
        orders.push_back(order);
    }
}

std::uint32_t UpstreamPlanner::lastOrderedReplicas(const Key &key) const
{
    const auto previous = m_orders.find(key);
    return previous == m_orders.end() ? 0 : previous->second.replicas;
}

void UpstreamPlanner::noteUnavailable(const ports::ScalingTarget &order, TimePoint now)
{
    m_unavailable[{order.service, order.zone, order.reclaimable}] = now;
    m_orders.erase({order.service, order.zone, order.reclaimable});
}

void UpstreamPlanner::takeOver(TimePoint now)
{
    m_takeoverTime = now;
    m_orders.clear();
    m_unavailable.clear();
}

double UpstreamPlanner::peakLoad(const std::string &service) const
{
    const auto found = m_recentLoads.find(service);
    double peak = 0;
    if (found != m_recentLoads.end()) {
        for (const auto &[time, busy] : found->second) {
            peak = std::max(peak, busy);
        }
    }
    return peak;
}

void UpstreamPlanner::observeInitialReplicas(const std::string &service, const ServiceLoad &load, TimePoint now)
{
    std::uint32_t total = 0;
    for (const auto &[zone, replicas] : load.zones) {
        total += replicas.permanent + replicas.reclaimable;
    }
    InitialReplicas &initial = m_initialReplicas[service];
    if (!initial.stableByZone.empty()) {
        return;
    }
    if (initial.replicas != total) {
        initial = {total, now, {}};
    }
    if (total == 0 || now - initial.since < StabilizationTime) {
        return;
    }
    for (const auto &[zone, replicas] : load.zones) {
        initial.stableByZone[zone] = replicas.permanent + replicas.reclaimable;
    }
}

bool UpstreamPlanner::initialReplicasStable(const std::string &service) const
{
    const auto found = m_initialReplicas.find(service);
    return found != m_initialReplicas.end() && !found->second.stableByZone.empty();
}

bool UpstreamPlanner::mayScaleDown(const std::string &service, TimePoint now) const
{
    const auto first = m_firstLoadTimes.find(service);
    const bool recentTakeover = m_takeoverTime && now - *m_takeoverTime < ObservationTime;
    return !recentTakeover && first != m_firstLoadTimes.end() && now - first->second >= ObservationTime;
}

}
