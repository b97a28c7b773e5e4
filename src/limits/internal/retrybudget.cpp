#include "limits/retrybudget.h"

#include <algorithm>

namespace rosemaryshift::limits {

namespace {

/// Fraction of the allowance that is used. The rest covers upstreams that count over windows which start at other times than this host's.
constexpr double UsableFraction = 0.8;
/// Fraction of that which requests may use that have not failed.
constexpr double SpareFraction = 0.5;

}

RetryBudget::RetryBudget(RetryAllowance allowance)
    : m_allowance(allowance)
{
}

void RetryBudget::setHosts(std::size_t hosts)
{
    m_hosts = std::max<std::size_t>(hosts, 1);
}

void RetryBudget::noteRequest(const std::string &service, TimePoint now)
{
    std::deque<TimePoint> &requests = m_usage[service].requests;
    requests.push_back(now);
    expire(requests, now);
}

bool RetryBudget::allows(const std::string &service, TimePoint now)
{
    return remaining(m_usage[service], now, UsableFraction) >= 1;
}

bool RetryBudget::hasSpare(const std::string &service, TimePoint now)
{
    return remaining(m_usage[service], now, UsableFraction * SpareFraction) >= 1;
}

double RetryBudget::remaining(Usage &usage, TimePoint now, double usablePart) const
{
    expire(usage.requests, now);
    expire(usage.retries, now);
    const double allowed = usablePart * (m_allowance.ratio * static_cast<double>(usage.requests.size()) + m_allowance.slack / static_cast<double>(m_hosts));
    return allowed - static_cast<double>(usage.retries.size());
}

bool RetryBudget::take(const std::string &service, TimePoint now)
{
    if (!allows(service, now)) {
        return false;
    }
    m_usage[service].retries.push_back(now);
    return true;
}

void RetryBudget::expire(std::deque<TimePoint> &times, TimePoint now) const
{
    while (!times.empty() && now - times.front() > m_allowance.window) {
        times.pop_front();
    }
}

}
