#include "limits/upstreampauses.h"

#include <algorithm>

namespace rosemaryshift::limits {

UpstreamPauses::UpstreamPauses(Duration longest, Listener listener)
    : m_longest(longest)
    , m_listener(std::move(listener))
{
}

void UpstreamPauses::note(const std::string &instance, Duration length, TimePoint now)
{
    const Duration bounded = std::min(length, m_longest);
    if (bounded <= Duration::zero()) {
        return;
    }
    const auto [entry, begun] = m_ends.emplace(instance, now + bounded);
    entry->second = std::max(entry->second, now + bounded);
    if (begun) {
        m_listener(instance, PauseChange::Begun, bounded);
    }
}

std::optional<Duration> UpstreamPauses::remaining(const std::string &instance, TimePoint now) const
{
    const auto found = m_ends.find(instance);
    if (found == m_ends.end() || found->second <= now) {
        return std::nullopt;
    }
    return found->second - now;
}

void UpstreamPauses::expire(TimePoint now)
{
    std::erase_if(m_ends, [this, now](const std::pair<const std::string, TimePoint> &entry) {
        const bool ended = entry.second <= now;
        if (ended) {
            m_listener(entry.first, PauseChange::Ended, Duration::zero());
        }
        return ended;
    });
}

std::size_t UpstreamPauses::paused() const
{
    return m_ends.size();
}

}
