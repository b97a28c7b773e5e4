#include "limits/quotaenforcement.h"

#include "limits/windowquotas.h"
#include "limits/workspacequotas.h"

namespace rosemaryshift::limits {

QuotaEnforcement::QuotaEnforcement(QuotaTolerance tolerance, std::uint64_t seed)
    : m_tolerance(tolerance)
    , m_seed(seed)
    , m_rule(std::make_unique<WorkspaceQuotas>(tolerance, seed))
{
}

bool QuotaEnforcement::useWindows(bool windows)
{
    const bool wanted = windows && m_tolerance.window.count() > 0;
    if (wanted == (m_windows != nullptr)) {
        return false;
    }
    std::map<std::string, std::uint64_t> used = m_rule->used();
    if (wanted) {
        std::unique_ptr<WindowQuotas> rule = std::make_unique<WindowQuotas>(m_tolerance, m_seed);
        m_windows = rule.get();
        m_rule = std::move(rule);
    } else {
        m_windows = nullptr;
        m_rule = std::make_unique<WorkspaceQuotas>(m_tolerance, m_seed);
    }
    m_rule->adoptUsed(std::move(used));
    return true;
}

std::vector<QuotaUse> QuotaEnforcement::uses(TimePoint now)
{
    return m_windows != nullptr ? m_windows->uses(now) : std::vector<QuotaUse>();
}

std::uint64_t QuotaEnforcement::ignoredReports() const
{
    return m_windows != nullptr ? m_windows->ignoredReports() : 0;
}

void QuotaEnforcement::configure(std::span<const routing::Workspace> workspaces, TimePoint now)
{
    m_rule->configure(workspaces, now);
}

void QuotaEnforcement::setShare(const std::string &workspace, double share, TimePoint now)
{
    m_rule->setShare(workspace, share, now);
}

void QuotaEnforcement::setTotalDemand(const std::string &workspace, double perSecond)
{
    m_rule->setTotalDemand(workspace, perSecond);
}

void QuotaEnforcement::setPooled(bool pooled, TimePoint now)
{
    m_rule->setPooled(pooled, now);
}

void QuotaEnforcement::setPooledFraction(const std::string &workspace, double fraction, TimePoint now)
{
    m_rule->setPooledFraction(workspace, fraction, now);
}

void QuotaEnforcement::updatePeerUsage(const std::string &hostStart, const std::map<std::string, std::uint64_t> &used, ReportTiming timing, TimePoint now)
{
    m_rule->updatePeerUsage(hostStart, used, timing, now);
}

void QuotaEnforcement::updatePeerDemand(const std::string &hostStart, const std::map<std::string, double> &demand)
{
    m_rule->updatePeerDemand(hostStart, demand);
}

void QuotaEnforcement::forgetPeer(const std::string &hostStart)
{
    m_rule->forgetPeer(hostStart);
}

std::optional<Duration> QuotaEnforcement::take(const std::string &workspace, double cost, TimePoint now)
{
    return m_rule->take(workspace, cost, now);
}

void QuotaEnforcement::refund(const std::string &workspace, double cost)
{
    m_rule->refund(workspace, cost);
}

const std::map<std::string, std::uint64_t> &QuotaEnforcement::used() const
{
    return m_rule->used();
}

void QuotaEnforcement::adoptUsed(std::map<std::string, std::uint64_t> used)
{
    m_rule->adoptUsed(std::move(used));
}

std::map<std::string, double> QuotaEnforcement::demand(TimePoint now) const
{
    return m_rule->demand(now);
}

}
