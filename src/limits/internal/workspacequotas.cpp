#include "limits/workspacequotas.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::limits {

namespace {

/// Part of a quota's burst that the hosts hand out; the rest covers shares that overlap while they move.
constexpr double BurstPart = 0.5;
/// Part of a quota that is split evenly among the hosts.
constexpr double EvenPart = 0.3;
/// Time in which the moving average of demand forgets.
constexpr double DemandSeconds = 2;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void WorkspaceQuotas::configure(std::span<const routing::Workspace> workspaces, TimePoint now)
{
    std::map<std::string, Bucket> buckets;
    for (const routing::Workspace &workspace : workspaces) {
        const auto known = m_buckets.find(workspace.name);
        Bucket bucket;
        if (known != m_buckets.end()) {
            bucket = known->second;
            fill(bucket, now);
        }
        bucket.perSecond = workspace.perSecond;
        bucket.burst = workspace.burst * BurstPart;
        if (known == m_buckets.end()) {
            bucket.filled = now;
            bucket.level = bucket.burst * bucket.share;
        }
        bucket.level = std::min(bucket.level, bucket.burst * bucket.share);
        buckets.emplace(workspace.name, bucket);
    }
    m_buckets = std::move(buckets);
}

void WorkspaceQuotas::setShare(const std::string &workspace, double share, TimePoint now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end()) {
        return;
    }
    Bucket &bucket = found->second;
    fill(bucket, now);
    bucket.share = share;
    bucket.level = std::min(bucket.level, bucket.burst * share);
}

std::optional<Duration> WorkspaceQuotas::take(const std::string &workspace, double cost, TimePoint now)
{
    const auto found = m_buckets.find(workspace);
    if (found == m_buckets.end()) {
        return std::nullopt;
    }
    Bucket &bucket = found->second;
    bucket.demand = bucket.demand * std::exp(-seconds(now - bucket.demanded) / DemandSeconds) + cost / DemandSeconds;
    bucket.demanded = now;
    if (bucket.perSecond <= 0) {
        return std::nullopt;
    }
    fill(bucket, now);
    if (bucket.level > 0) {
        bucket.level -= cost;
        return std::nullopt;
    }
    const double rate = std::max(bucket.perSecond * bucket.share, 1e-6);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(-bucket.level / rate, 60.0)));
}

void WorkspaceQuotas::giveBack(const std::string &workspace, double cost)
{
    const auto found = m_buckets.find(workspace);
    if (found != m_buckets.end()) {
        Bucket &bucket = found->second;
        bucket.level = std::min(bucket.level + cost, bucket.burst * bucket.share);
    }
}

std::map<std::string, double> WorkspaceQuotas::demand(TimePoint now) const
{
    std::map<std::string, double> all;
    for (const auto &[workspace, bucket] : m_buckets) {
        all.emplace(workspace, bucket.demand * std::exp(-seconds(now - bucket.demanded) / DemandSeconds));
    }
    return all;
}

void WorkspaceQuotas::fill(Bucket &bucket, TimePoint now)
{
    const double gained = seconds(now - bucket.filled) * bucket.perSecond * bucket.share;
    bucket.level = std::min(bucket.level + std::max(0.0, gained), std::max(bucket.burst * bucket.share, 0.0));
    bucket.filled = now;
}

double shareOf(double ownDemand, double totalDemand, std::size_t hosts)
{
    const double even = 1 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (totalDemand <= 0) {
        return even;
    }
    return EvenPart * even + (1 - EvenPart) * std::clamp(ownDemand / totalDemand, 0.0, 1.0);
}

}
