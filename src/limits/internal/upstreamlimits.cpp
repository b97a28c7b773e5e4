#include "limits/upstreamlimits.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace rosemaryshift::limits {

namespace {

/// The platform tolerates this multiple of a limit, and this number of requests on top, in any window of this length.
constexpr double ToleratedFactor = 1.5;
constexpr double ToleratedExtra = 5;
constexpr double WindowSeconds = 4;
/// Part of the tolerated extra that is kept free for hosts that start or leave while others do not know of it yet.
constexpr double ReservedExtra = 2;
/// A lower limit, zero included, is treated as this one, in requests per second: only an answer tells that the limit is lifted.
constexpr double MinPerSecond = 0.1;
/// Time for which a lifted limit is reported to the other hosts.
constexpr std::chrono::seconds LiftedLifetime{10};
/// Time without a confirming answer after which a limit is dropped, as its upstream is gone or gets no requests.
constexpr std::chrono::seconds UnconfirmedLifetime{600};
/// Upper bound on the limits that are sent to the other hosts at a time.
constexpr std::size_t MaxReports = 32;

double effectiveRate(double perSecond)
{
    return std::max(perSecond, MinPerSecond);
}

/// Requests that all hosts together may send at once, in addition to those that the limit refills.
double burst(double rate)
{
    return (ToleratedFactor - 1) * rate * WindowSeconds + ToleratedExtra - ReservedExtra;
}

}

UpstreamLimits::UpstreamLimits(Listener listener)
    : m_listener(std::move(listener))
{
}

void UpstreamLimits::setHosts(const std::string &own, std::vector<std::string> others, TimePoint now)
{
    if (own == m_ownHost && others == m_otherHosts) {
        return;
    }
    m_ownHost = own;
    m_otherHosts = std::move(others);
    for (auto &[instance, limit] : m_limits) {
        updateShare(instance, limit, false, now);
    }
}

void UpstreamLimits::noteAnswer(const std::string &instance, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto known = m_limits.find(instance);
    if (!perSecond && (known == m_limits.end() || !known->second.perSecond || sentAt <= known->second.confirmedAt)) {
        return;
    }
    update(instance, perSecond, now, true, now);
}

void UpstreamLimits::apply(std::span<const LimitReport> reports, TimePoint now)
{
    for (const LimitReport &report : reports) {
        constexpr std::uint64_t MaxAgeMs = std::chrono::milliseconds(UnconfirmedLifetime).count();
        const TimePoint confirmedAt = now - std::chrono::milliseconds(std::min(report.ageMs, MaxAgeMs));
        const auto known = m_limits.find(report.instance);
        const bool isNews = known == m_limits.end() ? report.perSecond.has_value() : confirmedAt > known->second.confirmedAt;
        if (isNews) {
            update(report.instance, report.perSecond, confirmedAt, false, now);
        }
    }
}

void UpstreamLimits::update(const std::string &instance, std::optional<double> perSecond, TimePoint confirmedAt, bool observedHere, TimePoint now)
{
    Limit &limit = m_limits[instance];
    const std::optional<double> before = limit.perSecond;
    limit.perSecond = perSecond;
    limit.confirmedAt = confirmedAt;
    limit.observedHere = observedHere;
    if (before == perSecond) {
        return;
    }
    updateShare(instance, limit, !before, now);
    m_listener(instance, perSecond);
}

void UpstreamLimits::updateShare(const std::string &instance, Limit &limit, bool isNew, TimePoint now) const
{
    if (!limit.perSecond) {
        return;
    }
    refill(limit, now);
    const std::uint64_t key = rendezvousWeight(0, instance);
    const std::uint64_t own = rendezvousWeight(key, m_ownHost);
    const std::ptrdiff_t rank = std::ranges::count_if(m_otherHosts, [key, own](const std::string &host) { return rendezvousWeight(key, host) > own; });
    const double rate = effectiveRate(*limit.perSecond);
    const std::ptrdiff_t hosts = static_cast<std::ptrdiff_t>(m_otherHosts.size()) + 1;
    const std::ptrdiff_t sharers = std::min(hosts, static_cast<std::ptrdiff_t>(std::min(burst(rate), static_cast<double>(hosts))));
    const double share = rank < sharers ? 1 / static_cast<double>(sharers) : 0;
    limit.rate = rate * share;
    limit.capacity = burst(rate) * share;
    // Hosts whose requests would all come at once after a limit is stated take turns instead.
    limit.level = isNew ? static_cast<double>(rank) * share : std::min(limit.level, limit.capacity);
}

void UpstreamLimits::refill(Limit &limit, TimePoint now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - limit.refilledAt).count());
    limit.level = std::min(limit.level + limit.rate * seconds, limit.capacity);
    limit.refilledAt = now;
}

bool UpstreamLimits::maySend(const std::string &instance, TimePoint now)
{
    const auto known = m_limits.find(instance);
    if (known == m_limits.end() || !known->second.perSecond) {
        return true;
    }
    refill(known->second, now);
    return known->second.level >= 1;
}

void UpstreamLimits::noteSent(const std::string &instance, TimePoint now)
{
    const auto known = m_limits.find(instance);
    if (known != m_limits.end() && known->second.perSecond) {
        refill(known->second, now);
        known->second.level -= 1;
    }
}

std::optional<double> UpstreamLimits::perSecond(const std::string &instance) const
{
    const auto known = m_limits.find(instance);
    return known == m_limits.end() ? std::nullopt : known->second.perSecond;
}

std::size_t UpstreamLimits::limitedUpstreams() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_limits, [](const auto &entry) { return entry.second.perSecond.has_value(); }));
}

std::vector<LimitReport> UpstreamLimits::reports(TimePoint now) const
{
    std::vector<LimitReport> reports;
    for (const auto &[instance, limit] : m_limits) {
        // The host with the latest answer reports it, which is enough for all and keeps the reports small.
        if (limit.observedHere) {
            const std::int64_t ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.confirmedAt).count();
            reports.push_back({instance, limit.perSecond, static_cast<std::uint64_t>(std::max<std::int64_t>(ageMs, 0))});
        }
    }
    std::ranges::stable_sort(reports, {}, &LimitReport::ageMs);
    reports.resize(std::min(reports.size(), MaxReports));
    return reports;
}

void UpstreamLimits::expire(TimePoint now)
{
    std::erase_if(m_limits, [this, now](const std::pair<const std::string, Limit> &entry) {
        const Limit &limit = entry.second;
        const bool expired = now - limit.confirmedAt > (limit.perSecond ? UnconfirmedLifetime : LiftedLifetime);
        if (expired && limit.perSecond) {
            m_listener(entry.first, std::nullopt);
        }
        return expired;
    });
}

}
