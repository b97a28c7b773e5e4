#include "gateway/internal/wallclockestimator.h"

#include "gateway/internal/hostclock.h"

#include <algorithm>

namespace rosemaryshift::gateway {

WallClockEstimator::WallClockEstimator()
    : m_ownOffset(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) - hostNow().time_since_epoch())
    , m_sortedOffsets{m_ownOffset}
{
}

Duration WallClockEstimator::sinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + medianOffset();
}

Duration WallClockEstimator::ownSinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + m_ownOffset;
}

void WallClockEstimator::notePeer(const std::string &host, Duration sinceEpoch, TimePoint at)
{
    const Duration offset = sinceEpoch - at.time_since_epoch();
    const auto [entry, isNew] = m_peerOffsets.try_emplace(host, offset);
    if (!isNew) {
        removeSorted(entry->second);
        entry->second = offset;
    }
    m_sortedOffsets.insert(std::ranges::upper_bound(m_sortedOffsets, offset), offset);
}

void WallClockEstimator::forgetPeer(const std::string &host)
{
    const auto entry = m_peerOffsets.find(host);
    if (entry != m_peerOffsets.end()) {
        removeSorted(entry->second);
        m_peerOffsets.erase(entry);
    }
}

void WallClockEstimator::removeSorted(Duration offset)
{
    m_sortedOffsets.erase(std::ranges::lower_bound(m_sortedOffsets, offset));
}

Duration WallClockEstimator::medianOffset() const
{
    return m_sortedOffsets[m_sortedOffsets.size() / 2];
}

}
