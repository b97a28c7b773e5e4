#include "limits/retrybudget.h"

#include <algorithm>

namespace rosemaryshift::limits {

namespace {

/// Fraction of the allowance that is used. The rest covers upstreams that count over windows which start at other times than this host's.
constexpr double UsableFraction = 0.8;

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
    Usage &usage = m_usage[service];
    expire(usage.requests, now);
    expire(usage.retries, now);
    const double allowed = UsableFraction * (m_allowance.ratio * static_cast<double>(usage.requests.size()) + m_allowance.slack / static_cast<double>(m_hosts));
    return static_cast<double>(usage.retries.size()) + 1 <= allowed;
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
