#include "balancing/internal/peerload.h"

#include <algorithm>

namespace rosemaryshift::balancing {

void PeerLoad::set(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now, Duration lifetime)
{
    Report &report = m_reports[host];
    remove(report.outstanding);
    report = Report{std::move(outstanding), now + lifetime};
    add(report.outstanding);
    m_nextExpiry = std::min(m_nextExpiry, report.expires);
}

void PeerLoad::forget(const std::string &host)
{
    const auto found = m_reports.find(host);
    if (found != m_reports.end()) {
        remove(found->second.outstanding);
        m_reports.erase(found);
    }
}

void PeerLoad::expire(TimePoint now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = TimePoint::max();
    for (auto report = m_reports.begin(); report != m_reports.end();) {
        if (report->second.expires <= now) {
            remove(report->second.outstanding);
            report = m_reports.erase(report);
        } else {
            m_nextExpiry = std::min(m_nextExpiry, report->second.expires);
            ++report;
        }
    }
}

Outstanding PeerLoad::at(const std::string &instance) const
{
    const auto sum = m_sums.find(instance);
    return sum == m_sums.end() ? Outstanding() : sum->second;
}

void PeerLoad::add(const std::map<std::string, Outstanding> &outstanding)
{
    for (const auto &[instance, load] : outstanding) {
        if (load == Outstanding()) {
            continue;
        }
        Outstanding &sum = m_sums[instance];
        sum.running += load.running;
        sum.prefillTokens += load.prefillTokens;
    }
}

void PeerLoad::remove(const std::map<std::string, Outstanding> &outstanding)
{
    for (const auto &[instance, load] : outstanding) {
        const auto sum = m_sums.find(instance);
        if (sum == m_sums.end()) {
            continue; // Reports of no load are not in the sum.
        }
        sum->second.running -= load.running;
        sum->second.prefillTokens -= load.prefillTokens;
        if (sum->second == Outstanding()) {
            m_sums.erase(sum);
        }
    }
}

}
