#pragma once

#include "base/types.h"

#include <cstdint>
#include <optional>

namespace rosemaryshift::gateway {

/// The times between the events of one stream. Events that arrive in one read count as one. Not thread-safe.
class StreamPauses
{
public:
    /// Records that events arrived.
    void noteEvents(TimePoint now);
    /// Notes that what follows comes from another upstream. The pause until its first event counts for the stream, not for that upstream.
    void changeUpstream();
    /// The longest time between two events of the stream; nothing before the second one.
    [[nodiscard]] std::optional<Duration> longest() const;
    /// Number of times between events of the current upstream, and their sum.
    [[nodiscard]] std::uint32_t upstreamGaps() const;
    [[nodiscard]] Duration upstreamTotal() const;

private:
    std::optional<TimePoint> m_last;
    std::optional<TimePoint> m_upstreamFirst;
    std::optional<Duration> m_longest;
    std::uint32_t m_upstreamGaps = 0;
};

}
