#include "gossip/peerlistschedule.h"

#include <algorithm>

namespace rosemaryshift::gossip {

bool PeerListSchedule::nextContainsList(std::span<const std::string> heard, const std::set<std::string> &known)
{
    const bool anyNew = std::ranges::any_of(heard, [this](const std::string &address) { return !m_listed.contains(address); });
    const bool anyGone = !std::ranges::includes(known, m_listed);
    ++m_statusesSince;
    const bool isPeriodic = m_statusesSince >= StatusesPerList;
    if (!m_begun || anyNew || anyGone || isPeriodic) {
        m_begun = true;
        m_statusesSince = 0;
        std::erase_if(m_listed, [&known](const std::string &address) { return !known.contains(address); });
        m_listed.insert(heard.begin(), heard.end());
    }
    return m_statusesSince <= 1;
}

}
