#include "duties/upstreamplanner.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::duties {

namespace {

/// Work that a permanent upstream carries when all reclaimable ones are gone, in busy upstreams as ServiceLoad counts them. An engine batches, so
/// that it carries more than the sum of its requests' times alone.
constexpr double PermanentUse = 1.05;
/// Work that a permanent upstream carries while no reclaimable ones are to be had: head room is dear then, but no one else gives any.
constexpr double AloneUse = 0.9;
/// Work that an upstream would carry if reclaimable ones cost nothing; the less it is, the sooner first tokens come. Both uses from the measured
/// worth of ten days of two sites (docs/MEASUREMENTS.md).
constexpr double FreeUse = 0.37;
/// Part of what stands there that stays permanent while no callers have come.
constexpr double StandingPart = 0.45;
/// The load that counts is the highest of this time: orders fall slowly and rise at once.
constexpr std::chrono::seconds PeakWindow{8};
/// No less is ordered before the load was known, and the duty held, for this long: the load seems small while callers begin to come.
constexpr std::chrono::seconds LearningTime{5};
/// Before callers come, nothing is ordered until the list of upstreams has stayed the same for this long.
constexpr std::chrono::seconds SettledTime{3};
/// An order is repeated when it has no effect for this long, as when its answer was lost.
constexpr std::chrono::seconds RepeatAfter{10};
/// Reclaimable upstreams that were not to be had are asked for again after this time.
constexpr std::chrono::seconds UnavailableTime{3};

bool offersReclaimables(const routing::ScalingSpec &scaling)
{
    return scaling.reclaimablePrice && *scaling.reclaimablePrice < 1;
}

/// Work that an upstream carries while all are there: the cheaper head room is, the less.
double totalUse(const routing::ScalingSpec &scaling)
{
    return std::min(AloneUse, FreeUse + (AloneUse - FreeUse) * scaling.reclaimablePrice.value_or(1));
}

std::vector<std::string> cheapestFirst(const routing::ScalingSpec &scaling, const ServiceLoad &load)
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

/// Whole upstreams that carry @p wanted in all, spread evenly, the odd ones over the first zones.
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
        noteStanding(service.name, load, now);
        return;
    }
    m_firstLoads.emplace(service.name, now);
    std::deque<std::pair<TimePoint, double>> &loads = m_loads[service.name];
    loads.emplace_back(now, load.busyUpstreams);
    while (now - loads.front().first > PeakWindow) {
        loads.pop_front();
    }
}

std::vector<ports::UpstreamOrder> UpstreamPlanner::plan(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    std::vector<ports::UpstreamOrder> orders;
    if (!service.scaling || load.zones.empty() || (!load.measured && !settled(service.name))) {
        return orders;
    }
    const bool reclaimables = offersReclaimables(*service.scaling);
    const bool shrinks = !load.measured || mayShrink(service.name, now);
    for (const auto &[zone, wanted] : wantedReplicas(service, load, now)) {
        const ZoneReplicas &there = load.zones.at(zone);
        std::uint32_t permanent = wanted.permanent;
        std::uint32_t reclaimable = wanted.reclaimable;
        // The permanent ones leave once the reclaimable ones are there.
        if (permanent < there.permanent) {
            permanent = std::min(there.permanent, permanent + reclaimable - std::min(reclaimable, there.reclaimable));
        }
        if (!shrinks) {
            permanent = std::max({permanent, there.permanent, ordered({service.name, zone, false})});
            reclaimable = std::max({reclaimable, there.reclaimable, ordered({service.name, zone, true})});
        }
        permanent = std::min(permanent, service.scaling->maxReplicas - std::min(reclaimable, service.scaling->maxReplicas));
        if (reclaimables) {
            addOrder({service.name, zone, true, reclaimable}, there.reclaimable, now, orders);
        }
        addOrder({service.name, zone, false, permanent}, there.permanent, now, orders);
    }
    return orders;
}

std::map<std::string, ZoneReplicas> UpstreamPlanner::wantedReplicas(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    const routing::ScalingSpec &scaling = *service.scaling;
    const bool reclaimables = offersReclaimables(scaling);
    const std::uint32_t least = std::min(std::max(1U, scaling.minReplicas), scaling.maxReplicas);
    const double peak = peakLoad(service.name);
    const std::vector<std::string> zones = cheapestFirst(scaling, load);
    const std::map<std::string, std::uint32_t> totals = spread(peak / totalUse(scaling), zones);
    const std::map<std::string, std::uint32_t> floors = spread(peak / PermanentUse, zones);
    std::map<std::string, ZoneReplicas> wanted;
    std::uint32_t toBeHad = 0;
    for (const std::string &zone : zones) {
        // Without callers nothing is known of the load; what stands there stays, as many as before of both kinds together.
        const std::uint32_t standing = load.measured ? 0 : m_standing[service.name].settled[zone];
        const std::uint32_t total = std::clamp(load.measured ? totals.at(zone) : standing, least, scaling.maxReplicas);
        const std::uint32_t floor = load.measured ? floors.at(zone) : static_cast<std::uint32_t>(std::ceil(standing * StandingPart));
        const std::uint32_t permanent = std::clamp(floor, least, total);
        std::uint32_t reclaimable = total - permanent;
        const auto unavailable = m_unavailable.find({service.name, zone, true});
        if (unavailable != m_unavailable.end() && now - unavailable->second < UnavailableTime) {
            reclaimable = std::min(reclaimable, load.zones.at(zone).reclaimable);
        }
        wanted[zone] = reclaimables ? ZoneReplicas{permanent, reclaimable} : ZoneReplicas{total, 0};
        toBeHad += wanted[zone].reclaimable;
    }
    if (reclaimables && load.measured) {
        const std::map<std::string, std::uint32_t> alone = spread(std::max(0.0, peak / AloneUse - toBeHad), zones);
        for (auto &[zone, replicas] : wanted) {
            replicas.permanent = std::max(replicas.permanent, std::min(alone.at(zone), scaling.maxReplicas));
        }
    }
    return wanted;
}

void UpstreamPlanner::addOrder(const ports::UpstreamOrder &order, std::uint32_t there, TimePoint now, std::vector<ports::UpstreamOrder> &orders)
{
    const auto given = m_orders.find({order.service, order.zone, order.reclaimable});
    const bool repeated = given != m_orders.end() && given->second.replicas == order.replicas;
    const bool effective = there == order.replicas;
    if (repeated ? !effective && now - given->second.at > RepeatAfter : !(effective && given == m_orders.end())) {
        m_orders[{order.service, order.zone, order.reclaimable}] = {order.replicas, now};
        orders.push_back(order);
    }
}

std::uint32_t UpstreamPlanner::ordered(const Key &key) const
{
    const auto given = m_orders.find(key);
    return given == m_orders.end() ? 0 : given->second.replicas;
}

void UpstreamPlanner::noteUnavailable(const ports::UpstreamOrder &order, TimePoint now)
{
    m_unavailable[{order.service, order.zone, order.reclaimable}] = now;
    m_orders.erase({order.service, order.zone, order.reclaimable});
}

void UpstreamPlanner::takeOver(TimePoint now)
{
    m_tookOver = now;
    m_orders.clear();
    m_unavailable.clear();
}

double UpstreamPlanner::peakLoad(const std::string &service) const
{
    const auto found = m_loads.find(service);
    double peak = 0;
    if (found != m_loads.end()) {
        for (const auto &[time, busy] : found->second) {
            peak = std::max(peak, busy);
        }
    }
    return peak;
}

void UpstreamPlanner::noteStanding(const std::string &service, const ServiceLoad &load, TimePoint now)
{
    std::uint32_t standing = 0;
    for (const auto &[zone, replicas] : load.zones) {
        standing += replicas.permanent + replicas.reclaimable;
    }
    Standing &known = m_standing[service];
    if (!known.settled.empty()) {
        return;
    }
    if (known.replicas != standing) {
        known = {standing, now, {}};
    }
    if (standing == 0 || now - known.since < SettledTime) {
        return;
    }
    for (const auto &[zone, replicas] : load.zones) {
        known.settled[zone] = replicas.permanent + replicas.reclaimable;
    }
}

bool UpstreamPlanner::settled(const std::string &service) const
{
    const auto found = m_standing.find(service);
    return found != m_standing.end() && !found->second.settled.empty();
}

bool UpstreamPlanner::mayShrink(const std::string &service, TimePoint now) const
{
    const auto first = m_firstLoads.find(service);
    const bool tookOver = m_tookOver && now - *m_tookOver < LearningTime;
    return !tookOver && first != m_firstLoads.end() && now - first->second >= LearningTime;
}

}
