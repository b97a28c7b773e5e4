#include "gateway/internal/streampauses.h"

#include <algorithm>

namespace rosemaryshift::gateway {

void StreamPauses::noteEvents(TimePoint now)
{
    if (m_last) {
        m_longest = std::max(m_longest.value_or(Duration(0)), now - *m_last);
    }
    if (m_upstreamFirst) {
        ++m_upstreamGaps;
    } else {
        m_upstreamFirst = now;
    }
    m_last = now;
}

void StreamPauses::changeUpstream()
{
    m_upstreamFirst.reset();
    m_upstreamGaps = 0;
}

std::optional<Duration> StreamPauses::longest() const
{
    return m_longest;
}

std::uint32_t StreamPauses::upstreamGaps() const
{
    return m_upstreamGaps;
}

Duration StreamPauses::upstreamTotal() const
{
    return m_upstreamFirst ? *m_last - *m_upstreamFirst : Duration(0);
}

}
