#include "gateway/internal/wallclockestimator.h"

#include "gateway/internal/hostclock.h"

#include <algorithm>
#include <vector>

namespace rosemaryshift::gateway {

WallClockEstimator::WallClockEstimator()
    : m_offset(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) - hostNow().time_since_epoch())
    , m_ownOffset(m_offset)
{
}

Duration WallClockEstimator::sinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + m_offset;
}

Duration WallClockEstimator::ownSinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + m_ownOffset;
}

void WallClockEstimator::notePeer(const std::string &host, Duration sinceEpoch, TimePoint at)
{
    m_peerOffsets[host] = sinceEpoch - at.time_since_epoch();
    updateOffset();
}

void WallClockEstimator::forgetPeer(const std::string &host)
{
    m_peerOffsets.erase(host);
    updateOffset();
}

void WallClockEstimator::updateOffset()
{
    // Peers send the time by their own clocks, not their estimates; otherwise an error could feed back into the median.
    std::vector<Duration> offsets{m_ownOffset};
    for (const auto &[host, offset] : m_peerOffsets) {
        offsets.push_back(offset);
    }
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    m_offset = *median;
}

}
