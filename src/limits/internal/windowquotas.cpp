#include "limits/windowquotas.h"

#include "limits/internal/quotamath.h"

namespace rosemaryshift::limits {

namespace {

/// After a gap of more than this number of intervals, when a host used what it reports then is unknown: it counts as used in the last part of the gap, in
/// percent.
constexpr int LongGapIntervals = 3;
constexpr int LongGapPart = 75;
constexpr int Percent = 100;
/// Longest time from the sending of a report until it is applied, in addition to the interval, as a part of the interval.
constexpr double DelayFraction = 0.2;
/// The room is computed again after this time, or at a request.
constexpr std::chrono::milliseconds ComputeInterval{50};
/// Interval between reports that is assumed before one is known.
constexpr std::chrono::milliseconds FirstInterval{400};
/// Largest relative difference between the speeds of two hosts' clocks.
constexpr double ClockDrift = 0.001;
/// Intervals that are taken for true.
constexpr std::chrono::milliseconds MinInterval{50};
constexpr std::chrono::milliseconds MaxInterval{5'000};

std::pair<std::string, std::string> hostAndStart(const std::string &hostStart)
{
    const std::size_t slash = hostStart.rfind('/');
    return slash == std::string::npos ? std::pair(hostStart, std::string()) : std::pair(hostStart.substr(0, slash), hostStart.substr(slash + 1));
}

}

WindowQuotas::Quota::Quota(Duration window)
    : used(window)
    , admittedParts(window)
{
}

WindowQuotas::WindowQuotas(QuotaTolerance tolerance, std::uint64_t seed)
    : m_tolerance(tolerance)
    , m_windowSeconds(seconds(tolerance.window))
    , m_random(seed)
{
}

WindowQuotas::PeerUse &WindowQuotas::useOf(Peer &peer, const Quota &quota)
{
    if (peer.uses.size() <= quota.index) {
        peer.uses.resize(quota.index + 1);
    }
    return peer.uses[quota.index];
}

double WindowQuotas::bound(double perSecond, double burst) const
{
    return (perSecond * m_windowSeconds + burst) * (1 + m_tolerance.excess) + m_tolerance.slack;
}

double WindowQuotas::reactionSeconds() const
{
    return (1 + DelayFraction) * seconds(m_interval.count() > 0 ? m_interval : Duration(FirstInterval));
}

void WindowQuotas::configure(std::span<const routing::Workspace> workspaces, TimePoint now)
{
    std::map<std::string, Quota> quotas;
    for (const routing::Workspace &workspace : workspaces) {
        const auto known = m_quotas.find(workspace.name);
        Quota quota = known != m_quotas.end() ? std::move(known->second) : Quota(m_tolerance.window);
        quota.used.advance(now);
        quota.admittedParts.advance(now);
        if (known == m_quotas.end()) {
            quota.computedAt = now;
            quota.turn = m_fraction(m_random);
            quota.rounding = m_fraction(m_random);
            if (!m_startedAt) {
                // Other hosts may have used the whole quota before this one started.
                quota.used.add(now - m_tolerance.window, now, workspace.perSecond * m_windowSeconds + workspace.burst);
            }
        } else if (workspace.perSecond > 0 && bound(workspace.perSecond, workspace.burst) < bound(quota.perSecond, quota.burst)) {
            // A lower limit is binding for windows that begin after the change. Until then the earlier usage counts as the whole new quota at most, so that
            // what leaves the window lets the new rate pass at once.
            const double whole = workspace.perSecond * m_windowSeconds + workspace.burst;
            quota.used.scale(std::min(1.0, whole / std::max(whole, quota.used.total())));
        }
        quota.index = m_indexes.try_emplace(workspace.name, m_indexes.size()).first->second;
        quota.unit = workspace.unit == routing::QuotaUnit::Tokens ? 1 : 0;
        quota.perSecond = workspace.perSecond;
        quota.burst = workspace.burst;
        compute(quotas.emplace(workspace.name, std::move(quota)).first->second, now);
    }
    m_quotas = std::move(quotas);
    m_startedAt = m_startedAt.value_or(now);
}

void WindowQuotas::setShare(const std::string &workspace, double share, TimePoint /*now*/)
{
    const auto found = m_quotas.find(workspace);
    if (found != m_quotas.end()) {
        found->second.share = share;
    }
}

void WindowQuotas::setTotalDemand(const std::string & /*workspace*/, double /*perSecond*/)
{
}

void WindowQuotas::setPooled(bool /*pooled*/, TimePoint /*now*/)
{
}

void WindowQuotas::setPooledFraction(const std::string & /*workspace*/, double /*fraction*/, TimePoint /*now*/)
{
}

void WindowQuotas::updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now)
{
    const auto [host, start] = hostAndStart(hostStart);
    const auto [entry, isNew] = m_peers.try_emplace(host);
    Peer &peer = entry->second;
    const Duration interval = std::clamp<Duration>(timing.interval, MinInterval, MaxInterval);
    m_interval = interval;
    const bool isRestarted = !isNew && peer.start != start;
    const TimePoint before = isNew ? now - interval : peer.known;
    if (isNew || isRestarted) {
        peer.start = start;
        peer.offset = now - timing.sentAt;
    } else {
        const Duration drift = toDuration(ClockDrift * seconds(std::max(timing.sentAt - peer.sentAt, Duration::zero())));
        peer.offset = std::min(peer.offset + drift, now - timing.sentAt);
    }
    peer.sentAt = timing.sentAt;
    peer.interval = interval;
    peer.known = std::clamp(timing.sentAt + peer.offset, std::min(before, now), now);
    const Duration gap = peer.known - before;
    const bool isLong = gap > LongGapIntervals * interval;
    if (isLong) {
        peer.heardAgain = now;
    }
    const std::pair<TimePoint, TimePoint> period{isLong ? peer.known - gap * LongGapPart / Percent : before, peer.known};
    for (auto &[workspace, quota] : m_quotas) {
        const auto total = used.find(workspace);
        PeerUse &use = useOf(peer, quota);
        quota.used.advance(now);
        if (isRestarted) {
            // What its former process has used since its last report stays unknown.
            const double part = std::max(0.0, quota.admittedParts.since(before));
            quota.used.add(before, peer.known, use.demandNow * std::min(part, reactionSeconds()));
            use = {};
        }
        const std::uint64_t reported = total == used.end() ? 0 : total->second;
        if (isNew) {
            // The total covers all usage since the host started, which is of unknown age.
            use.used = reported;
        }
        applyUse(quota, use, reported, period);
        if (quota.perSecond > 0 && now - quota.computedAt > ComputeInterval) {
            compute(quota, now);
        }
    }
}

void WindowQuotas::applyUse(Quota &quota, PeerUse &use, std::uint64_t total, std::pair<TimePoint, TimePoint> period)
{
    const double more = total >= use.used ? static_cast<double>(total - use.used) : -static_cast<double>(use.used - total);
    use.used = total;
    const double most = bound(quota.perSecond, quota.burst) * (1 + seconds(period.second - period.first) / m_windowSeconds);
    if (quota.perSecond > 0 && std::abs(more) > most) {
        ++m_ignoredReports;
        return;
    }
    quota.used.add(period.first, period.second, more);
}

void WindowQuotas::updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand)
{
    const auto found = m_peers.find(hostAndStart(hostStart).first);
    if (found == m_peers.end()) {
        return;
    }
    Peer &peer = found->second;
    for (auto &[workspace, quota] : m_quotas) {
        PeerUse &use = useOf(peer, quota);
        const auto told = demand.find(workspace);
        const double average = told != demand.end() && std::isfinite(told->second) ? std::max(0.0, told->second) : 0;
        const Duration elapsed = peer.known - use.demandBaseAt;
        use.demand = average;
        noteWeight(quota, use.weight, average, use.weighedAt ? peer.known - *use.weighedAt : Duration::zero());
        use.weighedAt = peer.known;
        use.heldShare.reset();
        if (elapsed < peer.interval / 2) {
            continue;
        }
        // The moving average forgets at a known rate, so that two of them tell what was requested between them.
        const double left = decay(elapsed);
        use.demandNow = std::max(0.0, (average - use.demandBase * left) / (1 - left));
        use.demandBase = average;
        use.demandBaseAt = peer.known;
    }
}

void WindowQuotas::forgetPeer(const std::string &hostStart)
{
    const auto [host, start] = hostAndStart(hostStart);
    const auto found = m_peers.find(host);
    if (found != m_peers.end() && found->second.start == start) {
        m_peers.erase(found);
    }
}

std::optional<Duration> WindowQuotas::take(const std::string &workspace, double cost, TimePoint now)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return std::nullopt;
    }
    Quota &quota = found->second;
    noteDemand(quota, cost, now);
    if (quota.perSecond <= 0) {
        return std::nullopt;
    }
    compute(quota, now);
    quota.turn += quota.probability;
    if (quota.turn >= 1 && quota.rounding * cost <= quota.spare) {
        quota.turn -= 1;
        quota.used.add(quota.computedAt, quota.computedAt, cost);
        quota.room -= cost;
        quota.spare -= cost;
        quota.rounding = m_fraction(m_random);
        quota.granted += cost;
        m_used[workspace] += static_cast<std::uint64_t>(cost);
        return std::nullopt;
    }
    quota.turn = std::min(quota.turn, 1.0);
    quota.refused += cost;
    const double needed = std::max(RoomMultiple * reactionSeconds() * quota.demandHeard, cost) - quota.room;
    return quota.used.timeUntilLeft(needed, now);
}

void WindowQuotas::refund(const std::string &workspace, double cost)
{
    const auto found = m_quotas.find(workspace);
    if (found == m_quotas.end()) {
        return;
    }
    std::uint64_t &used = m_used[workspace];
    const std::uint64_t returned = std::min(used, static_cast<std::uint64_t>(cost));
    used -= returned;
    Quota &quota = found->second;
    quota.granted -= cost;
    if (quota.perSecond > 0) {
        quota.used.add(quota.computedAt, quota.computedAt, -static_cast<double>(returned));
    }
}

std::uint64_t WindowQuotas::ignoredReports() const
{
    return m_ignoredReports;
}

const std::map<std::string, std::uint64_t> &WindowQuotas::used() const
{
    return m_used;
}

void WindowQuotas::adoptUsed(std::map<std::string, std::uint64_t> used)
{
    m_used = std::move(used);
}

std::map<std::string, double> WindowQuotas::demand(TimePoint now) const
{
    std::map<std::string, double> all;
    for (const auto &[workspace, quota] : m_quotas) {
        all.emplace(workspace, quota.demand * decay(now - quota.demandUpdatedAt));
    }
    return all;
}

std::vector<QuotaUse> WindowQuotas::uses(TimePoint now)
{
    std::vector<QuotaUse> all;
    for (auto &[workspace, quota] : m_quotas) {
        if (quota.perSecond <= 0) {
            continue;
        }
        compute(quota, now);
        const double allowed = quota.perSecond * m_windowSeconds + quota.burst;
        const double used = quota.used.total() + quota.unheard - quota.held;
        const double demanded = quota.demandHeard * m_windowSeconds;
        all.push_back({workspace, allowed, used, demanded, quota.held, quota.granted, quota.refused, quota.probability});
    }
    return all;
}

}
