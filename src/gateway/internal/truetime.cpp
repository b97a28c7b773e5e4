#include "gateway/internal/truetime.h"

#include "gateway/internal/hostclock.h"

#include <algorithm>
#include <vector>

namespace rosemaryshift::gateway {

TrueTime::TrueTime()
    : m_offset(std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) - hostNow().time_since_epoch())
    , m_initial(m_offset)
{
}

Duration TrueTime::sinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + m_offset;
}

Duration TrueTime::ownSinceEpoch(TimePoint now) const
{
    return now.time_since_epoch() + m_initial;
}

void TrueTime::notePeer(const std::string &host, Duration sinceEpoch, TimePoint at)
{
    m_peerOffsets[host] = sinceEpoch - at.time_since_epoch();
    correct();
}

void TrueTime::forgetPeer(const std::string &host)
{
    m_peerOffsets.erase(host);
    correct();
}

void TrueTime::correct()
{
    // Peers tell what their own clocks said at their start, not what they corrected it to, so that no error goes round.
    std::vector<Duration> offsets{m_initial};
    for (const auto &[host, offset] : m_peerOffsets) {
        offsets.push_back(offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), middle, offsets.end());
    m_offset = *middle;
}

}
