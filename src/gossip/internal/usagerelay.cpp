#include "gossip/usagerelay.h"

#include <algorithm>

namespace rosemaryshift::gossip {

UsageRelay::UsageRelay(std::string own)
    : m_last(std::move(own))
{
}

std::set<std::string> UsageRelay::next(const std::set<std::string> &unheard)
{
    std::set<std::string> chosen;
    auto process = unheard.upper_bound(m_last);
    while (chosen.size() < std::min(MaxProcesses, unheard.size())) {
        if (process == unheard.end()) {
            process = unheard.begin();
        }
        chosen.insert(*process);
        m_last = *process;
        ++process;
    }
    return chosen;
}

}
