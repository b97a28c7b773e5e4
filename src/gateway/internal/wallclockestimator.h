#pragma once

#include "base/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Estimates the wall-clock time that the hosts agree on: the median of the wall clocks of this host and its peers, each as it stood when its process
/// started and advanced by a monotonic clock. So clocks that are wrong or jump on a minority of the hosts do no harm. Not thread-safe.
class WallClockEstimator
{
public:
    WallClockEstimator();

    /// The estimated time since the Unix epoch.
    [[nodiscard]] Duration sinceEpoch(TimePoint now) const;
    /// The time since the Unix epoch by this host's own clock alone; this is what peers are sent.
    [[nodiscard]] Duration ownSinceEpoch(TimePoint now) const;
    /// Records that the clock of @p host read @p sinceEpoch at the local time @p at.
    void notePeer(const std::string &host, Duration sinceEpoch, TimePoint at);
    /// Drops the clock of a host that is gone.
    void forgetPeer(const std::string &host);

private:
    void removeSorted(Duration offset);
    /// From the monotonic host clock to the estimated wall clock.
    [[nodiscard]] Duration medianOffset() const;

    Duration m_ownOffset; ///< From the monotonic host clock to this host's wall clock when the process started.
    std::map<std::string, Duration> m_peerOffsets;
    /// The own offset and those of the peers, in order. Peers send the time by their own clocks, not their estimates; otherwise an error could feed back into
    /// the median.
    std::vector<Duration> m_sortedOffsets;
};

}
