#pragma once

#include "base/types.h"

#include <optional>

namespace rosemaryshift::directory {

/// Whether the platform's list of upstreams is in reach of this host, and whether an entry that is missing may have lapsed while the list was
/// away from all: such an upstream still serves and is listed again shortly after. When only this host was cut off, as peers can tell, upstreams
/// went on renewing their entries, and what is missing has gone. Time comes in with each call. Not thread-safe.
class ListAvailability
{
public:
    /// @p renewal is how often an upstream renews its entry; an entry outlives an outage of this length.
    explicit ListAvailability(Duration renewal);

    /// The list was read; returns how long it had been out of reach, nothing when it had not been.
    std::optional<Duration> noteRead(TimePoint now);
    /// The list could not be read; true when this begins an outage.
    bool noteFailure(TimePoint now);
    /// A peer says that it has had the list in reach for @p inReach until about now. True when this settles the list: what is missing has gone.
    bool notePeer(Duration inReach, TimePoint now);

    /// Whether this host cannot read the list.
    [[nodiscard]] bool unreachable() const;
    /// For how long the list has been in reach; nothing while it is not.
    [[nodiscard]] std::optional<Duration> reachableFor(TimePoint now) const;
    /// Whether an entry that is missing may come back.
    [[nodiscard]] bool unsettled(TimePoint now) const;
    /// When entries that are missing by then have gone for good; nothing unless an outage was followed by a read.
    [[nodiscard]] std::optional<TimePoint> settlesAt() const;
    /// Takes note that missing entries were dropped.
    void noteSettled();

private:
    const Duration m_renewal;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_inReachSince;
    std::optional<TimePoint> m_lostSince;
    std::optional<TimePoint> m_outageBegan; ///< Of the outage whose lapsed entries may still come back.
    std::optional<TimePoint> m_settlesAt;
};

}
