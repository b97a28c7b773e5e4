#include "directory/runcontinuity.h"

namespace rosemaryshift::directory {

RunContinuity::RunContinuity(Duration listingDelay)
    : m_listingDelay(listingDelay)
{
}

void RunContinuity::noteConnectionsLost(const std::string &instance, TimePoint now)
{
    m_interruptions[instance] = {now, std::nullopt};
}

void RunContinuity::noteAnswer(const std::string &instance, TimePoint now)
{
    const auto found = m_interruptions.find(instance);
    if (found != m_interruptions.end() && !found->second.answeredAt) {
        found->second.answeredAt = now;
    }
}

void RunContinuity::noteListRead(TimePoint now)
{
    // A run that answered before this time would be listed by now if it were a new one.
    std::erase_if(m_interruptions, [this, now](const std::pair<const std::string, Interruption> &entry) {
        return entry.second.answeredAt && now - *entry.second.answeredAt > m_listingDelay;
    });
}

void RunContinuity::forget(const std::string &instance)
{
    m_interruptions.erase(instance);
}

bool RunContinuity::certain(const Upstream &upstream) const
{
    const auto found = m_interruptions.find(upstream.entry.instance);
    return found == m_interruptions.end() || upstream.firstSeen > found->second.at;
}

}
