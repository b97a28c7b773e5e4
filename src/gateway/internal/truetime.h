#pragma once

#include "base/types.h"

#include <map>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// An estimate of the true time of day: this host's own clock as it stood when the process started, corrected by the median of what the
/// hosts believe, so that a clock that jumps on some of them does no harm. Not thread-safe.
class TrueTime
{
public:
    TrueTime();

    /// The time since the start of 1970.
    [[nodiscard]] Duration sinceEpoch(TimePoint now) const;
    /// What this host's own clock makes of the time, without the correction; this is what other hosts are told.
    [[nodiscard]] Duration ownSinceEpoch(TimePoint now) const;
    /// Another host believes that it was @p sinceEpoch at @p at.
    void notePeer(const std::string &host, Duration sinceEpoch, TimePoint at);
    /// Forgets a host that is gone.
    void forgetPeer(const std::string &host);

private:
    void correct();

    Duration m_offset; ///< From the host clock to the time of day.
    Duration m_initial;
    std::map<std::string, Duration> m_peerOffsets;
};

}
