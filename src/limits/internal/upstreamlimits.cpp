#include "limits/upstreamlimits.h"

namespace rosemaryshift::limits {

UpstreamLimits::UpstreamLimits(Listener listener)
    : m_listener(std::move(listener))
{
}

void UpstreamLimits::noteAnswer(const std::string &instance, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto known = m_limits.find(instance);
    if (!perSecond) {
        if (known != m_limits.end() && sentAt > known->second.statedAt) {
            m_limits.erase(known);
            m_listener(instance, std::nullopt);
        }
        return;
    }
    const bool changed = known == m_limits.end() || known->second.perSecond != *perSecond;
    m_limits[instance] = {*perSecond, now};
    if (changed) {
        m_listener(instance, perSecond);
    }
}

std::optional<double> UpstreamLimits::perSecond(const std::string &instance) const
{
    const auto known = m_limits.find(instance);
    return known == m_limits.end() ? std::nullopt : std::optional(known->second.perSecond);
}

}
