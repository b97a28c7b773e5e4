#include "limits/internal/quotamath.h"
#include "limits/windowquotas.h"

namespace rosemaryshift::limits {

namespace {

/// Fraction of what is held for a host that is split evenly among the hosts, whatever their demand.
constexpr double EvenFraction = 0.2;
/// Number of its intervals after which a host's report counts as overdue. One report may be lost.
constexpr double OverdueBegin = 1.2;
constexpr double OverdueEnd = 1.8;
/// Time constant of the hosts' shares of the demand. They are to be nearly equal in the view of all hosts, also while demand rises.
constexpr double ShareSeconds = 8;
/// With fewer requests in the moving averages, the shares of the demand depend on chance.
constexpr double FewRequests = 10;
/// Room is used up no faster than this multiple of the bound's mean rate. What is admitted in a moment leaves the window in a moment, and callers might not ask
/// for as much again then.
constexpr double FastestMultiple = 1.6;
/// What leaves the window is admitted anew at the rate at which it leaves, measured over this part of the time in which hosts hear of each other.
constexpr double LeavingFraction = 0.25;
/// Multiple of the standard deviation of what is admitted between two reports that is kept free below the bound.
constexpr double Deviations = 3.6;
/// As Deviations, in addition while hosts are cut off, and for a window after that: it is known less well what they used when.
constexpr double UncertainDeviations = 2;
/// A demand counts as risen when it exceeds its moving average by this multiple of its standard deviation.
constexpr double RiseDeviations = 2;
/// Weight of a request in the mean cost.
constexpr double CostWeight = 0.05;

}

void WindowQuotas::noteWeight(const Quota &quota, double &weight, double demand, Duration elapsed) const
{
    const double total = std::max(quota.totalDemand, demand);
    if (total <= 0) {
        return;
    }
    const double even = total / static_cast<double>(m_peers.size() + 1);
    const double certainty = total / (total + FewRequests * m_meanCosts.at(quota.unit) / seconds(QuotaDemandTime));
    weight += certainty * (1 - decay(elapsed, ShareSeconds)) * (demand / even - weight);
}

double WindowQuotas::overduePart(const Peer &peer, TimePoint now)
{
    const double intervals = seconds(now - peer.known) / seconds(peer.interval);
    return std::clamp((intervals - OverdueBegin) / (OverdueEnd - OverdueBegin), 0.0, 1.0);
}

double WindowQuotas::sumDemand(Quota &quota, TimePoint now)
{
    const double own = quota.demand * decay(now - quota.demandUpdatedAt);
    double recent = 0;
    quota.totalDemand = own;
    quota.demandOfPeers = 0;
    quota.weights = quota.ownWeight;
    for (auto &[host, peer] : m_peers) {
        const PeerUse &use = useOf(peer, quota);
        const double heard = 1 - overduePart(peer, now);
        quota.totalDemand += use.demand;
        quota.demandOfPeers += heard * use.demand;
        recent += heard * use.demandNow;
        quota.weights += use.weight;
    }
    // The moving average follows a rise late. What is requested between two reports varies by a few requests.
    const double average = quota.demandOfPeers;
    const double deviation = std::sqrt(average * m_meanCosts.at(quota.unit) / reactionSeconds());
    quota.demandOfPeers += std::max(0.0, recent - average - RiseDeviations * deviation);
    quota.demandHeard = own + quota.demandOfPeers;
    return average > 0 ? quota.demandOfPeers / average : 1;
}

void WindowQuotas::addUnheard(Quota &quota, double bound, TimePoint now)
{
    const double rise = sumDemand(quota, now);
    quota.unheard = 0;
    quota.held = 0;
    double heldShares = 0;
    double returned = 0;
    for (auto &[host, peer] : m_peers) {
        PeerUse &use = useOf(peer, quota);
        const double overdue = overduePart(peer, now);
        returned += peer.heardAgain && now - *peer.heardAgain < m_tolerance.window ? 1 : 0;
        if (overdue > 0) {
            if (!use.heldShare) {
                const double even = 1 / static_cast<double>(m_peers.size() + 1);
                use.heldShare = EvenFraction * even + (1 - EvenFraction) * (quota.weights > 0 ? use.weight / quota.weights : even);
            }
            heldShares += overdue * *use.heldShare;
            quota.held += overdue * *use.heldShare * std::max(0.0, bound - (quota.used.total() - quota.used.since(peer.known)));
        }
        quota.unheard += (1 - overdue) * rise * use.demand * quota.admittedParts.since(peer.known);
    }
    quota.unheard += quota.held;
    quota.heldShares = std::min(heldShares, 1.0);
    quota.uncertainShares = std::min(heldShares + returned / static_cast<double>(m_peers.size() + 1), 1.0);
}

void WindowQuotas::compute(Quota &quota, TimePoint now)
{
    const TimePoint at = std::max(now, quota.computedAt);
    quota.used.advance(at);
    quota.admittedParts.advance(at);
    noteWeight(quota, quota.ownWeight, quota.demand * decay(at - quota.demandUpdatedAt), at - quota.computedAt);
    quota.admittedParts.add(quota.computedAt, at, seconds(at - quota.computedAt) * quota.probability);
    quota.computedAt = at;
    const double reaction = reactionSeconds();
    const double whole = bound(quota.perSecond, quota.burst) * (m_peers.empty() ? quota.share : 1);
    addUnheard(quota, whole, at);
    const double rate = std::min(quota.demandOfPeers, whole / m_windowSeconds);
    const double deviation = std::sqrt(rate * reaction * m_meanCosts.at(quota.unit));
    const Duration horizon = toDuration(LeavingFraction * reaction);
    const double leaving = quota.used.before(at - m_tolerance.window + horizon);
    quota.room = whole - (Deviations + UncertainDeviations * quota.uncertainShares) * deviation - std::max(0.0, quota.used.total()) - quota.unheard;
    quota.spare = quota.room + deviation;
    const double fastest = FastestMultiple * whole * (1 - quota.heldShares) / m_windowSeconds;
    const double leavingRate = leaving / seconds(horizon);
    const double perSecond = leavingRate + std::min(quota.room / (RoomMultiple * reaction), std::max(0.0, fastest - leavingRate));
    quota.probability = quota.demandHeard > 0 ? std::clamp(perSecond / quota.demandHeard, 0.0, 1.0) : 1;
}

void WindowQuotas::noteDemand(Quota &quota, double cost, TimePoint now)
{
    const Duration elapsed = now - quota.demandUpdatedAt;
    quota.demand = quota.demand * decay(elapsed) + cost / seconds(QuotaDemandTime);
    quota.demandUpdatedAt = std::max(now, quota.demandUpdatedAt);
    // Each cost weighs as much as it is large, as in the variance of a sum of requests.
    double &mean = m_meanCosts.at(quota.unit);
    const double weight = mean > 0 ? CostWeight * cost / (CostWeight * cost + (1 - CostWeight) * mean) : 1;
    mean += weight * (cost - mean);
}

}
