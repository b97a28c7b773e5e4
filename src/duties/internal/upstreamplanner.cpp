#include "duties/upstreamplanner.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::duties {

namespace {

/// Work that a permanent upstream carries when all reclaimable ones are gone, in busy upstreams as ServiceLoad counts them. An engine batches, so
/// that it carries more than the sum of its requests' times alone.
constexpr double PermanentUse = 1.4;
/// Work that an upstream carries while all are there, so that first tokens come soon.
constexpr double TotalUse = 0.9;
/// The load that counts is the highest of this time: orders fall slowly and rise at once.
constexpr std::chrono::seconds PeakWindow{8};
/// No less is ordered before the load was known for this long: it seems small while callers begin to come.
constexpr std::chrono::seconds LearningTime{5};
/// Before callers come, nothing is ordered until the list of upstreams has stayed the same for this long.
constexpr std::chrono::seconds SettledTime{3};
/// An order is repeated when it has no effect for this long, as when its answer was lost.
constexpr std::chrono::seconds RepeatAfter{10};
/// Reclaimable upstreams that were not to be had are asked for again after this time.
constexpr std::chrono::seconds UnavailableTime{3};

}

std::vector<ports::UpstreamOrder> UpstreamPlanner::plan(const routing::Service &service, const ServiceLoad &load, TimePoint now)
{
    std::vector<ports::UpstreamOrder> orders;
    if (!service.scaling || load.zones.empty() || (!load.known && !settled(service.name, load, now))) {
        return orders;
    }
    const routing::ScalingSpec &scaling = *service.scaling;
    const bool reclaimables = scaling.reclaimablePrice && *scaling.reclaimablePrice < 1;
    const double zones = static_cast<double>(load.zones.size());
    if (load.known) {
        noteLoad(service.name, load, now);
    }
    const double peak = peakLoad(service.name);
    const bool shrinks = !load.known || mayShrink(service.name, now);
    const double permanentWanted = peak / PermanentUse;
    const double totalWanted = peak / TotalUse;
    for (const auto &[zone, replicas] : load.zones) {
        const std::uint32_t least = std::max(1U, scaling.minReplicas);
        // Without callers nothing is known of the load; what stands there stays, of both kinds in their usual proportion.
        const double standing = load.known ? 0 : m_standing[service.name].settled[zone];
        const double totalHere = load.known ? totalWanted / zones : standing;
        const double permanentHere = load.known ? permanentWanted / zones : standing * TotalUse / PermanentUse;
        const std::uint32_t total = std::clamp(static_cast<std::uint32_t>(std::ceil(totalHere)), least, scaling.maxReplicas);
        std::uint32_t permanent = std::clamp(static_cast<std::uint32_t>(std::ceil(permanentHere)), least, total);
        std::uint32_t reclaimable = reclaimables ? total - permanent : 0;
        permanent = reclaimables ? permanent : total;
        const auto unavailable = m_unavailable.find({service.name, zone, true});
        const bool dry = unavailable != m_unavailable.end() && now - unavailable->second < UnavailableTime;
        if (dry) {
            reclaimable = std::min(reclaimable, replicas.reclaimable);
        }
        // The permanent ones leave once the reclaimable ones are there.
        const std::uint32_t missing = reclaimable > replicas.reclaimable ? reclaimable - replicas.reclaimable : 0;
        if (permanent < replicas.permanent) {
            permanent = std::min(replicas.permanent, permanent + missing);
        }
        if (!shrinks) {
            permanent = std::max(permanent, replicas.permanent);
            reclaimable = std::max(reclaimable, replicas.reclaimable);
        }
        permanent = std::min(permanent, scaling.maxReplicas - std::min(reclaimable, scaling.maxReplicas));
        for (const ports::UpstreamOrder &order :
             {ports::UpstreamOrder{service.name, zone, true, reclaimable}, ports::UpstreamOrder{service.name, zone, false, permanent}}) {
            if (order.reclaimable && !reclaimables) {
                continue;
            }
            const std::uint32_t there = order.reclaimable ? replicas.reclaimable : replicas.permanent;
            const auto given = m_orders.find({order.service, order.zone, order.reclaimable});
            const bool repeated = given != m_orders.end() && given->second.replicas == order.replicas;
            const bool effective = there == order.replicas;
            if (repeated ? !effective && now - given->second.at > RepeatAfter : !(effective && given == m_orders.end())) {
                m_orders[{order.service, order.zone, order.reclaimable}] = {order.replicas, now};
                orders.push_back(order);
            }
        }
    }
    return orders;
}

void UpstreamPlanner::noteUnavailable(const ports::UpstreamOrder &order, TimePoint now)
{
    m_unavailable[{order.service, order.zone, order.reclaimable}] = now;
    m_orders.erase({order.service, order.zone, order.reclaimable});
}

void UpstreamPlanner::reset()
{
    m_orders.clear();
    m_unavailable.clear();
    m_loads.clear();
    m_firstLoads.clear();
    m_standing.clear();
}

void UpstreamPlanner::noteLoad(const std::string &service, const ServiceLoad &load, TimePoint now)
{
    m_firstLoads.emplace(service, now);
    std::deque<std::pair<TimePoint, double>> &loads = m_loads[service];
    loads.emplace_back(now, load.busyUpstreams);
    while (now - loads.front().first > PeakWindow) {
        loads.pop_front();
    }
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

bool UpstreamPlanner::settled(const std::string &service, const ServiceLoad &load, TimePoint now)
{
    std::uint32_t standing = 0;
    for (const auto &[zone, replicas] : load.zones) {
        standing += replicas.permanent + replicas.reclaimable;
    }
    Standing &known = m_standing[service];
    if (!known.settled.empty()) {
        return true;
    }
    if (known.replicas != standing) {
        known = {standing, now, {}};
    }
    if (standing == 0 || now - known.since < SettledTime) {
        return false;
    }
    for (const auto &[zone, replicas] : load.zones) {
        known.settled[zone] = replicas.permanent + replicas.reclaimable;
    }
    return true;
}

bool UpstreamPlanner::mayShrink(const std::string &service, TimePoint now) const
{
    return now - m_firstLoads.at(service) >= LearningTime;
}

}
