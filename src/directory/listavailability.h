#pragma once

#include "base/types.h"

#include <optional>

namespace rosemaryshift::directory {

/// Tracks whether this host can read the platform's list of upstreams, and whether an entry that is missing from it may come back. During an outage
/// of the list for everyone, entries lapse although their upstreams still serve; those are listed again shortly after the outage. When only this
/// host could not read the list, as the reports of peers show, upstreams went on renewing their entries, and an upstream whose entry is missing has
/// left. The list is unsettled while missing entries may come back. Each call passes the current time. Not thread-safe.
class ListAvailability
{
public:
    /// @p renewal is the interval at which an upstream renews its entry; entries survive an outage of this length.
    explicit ListAvailability(Duration renewal);

    /// Notes that the list was read. Returns how long it had been unreachable before; nothing when it had been reachable.
    std::optional<Duration> noteRead(TimePoint now);
    /// Notes that the list could not be read. Returns whether this begins an outage.
    bool noteFailure(TimePoint now);
    /// Notes a peer's report that it has been able to read the list for @p reachableTime until about @p now. Returns whether this settles the list:
    /// upstreams whose entries are missing have left.
    bool notePeer(Duration reachableTime, TimePoint now);

    /// Whether the last attempt of this host to read the list failed.
    [[nodiscard]] bool unreachable() const;
    /// How long this host has been able to read the list; nothing while it cannot, or when it has not read it for longer than a renewal.
    [[nodiscard]] std::optional<Duration> reachableFor(TimePoint now) const;
    /// Whether an entry that is missing at @p now may come back.
    [[nodiscard]] bool unsettled(TimePoint now) const;
    /// The time from which upstreams whose entries are still missing count as gone; nothing unless a read followed an outage.
    [[nodiscard]] std::optional<TimePoint> settlesAt() const;
    /// When the list was last read before the outage after which it has not settled yet; nothing when it is settled.
    [[nodiscard]] std::optional<TimePoint> outageBegan() const;
    /// Notes that the upstreams whose entries are missing were dropped.
    void noteSettled();

private:
    const Duration m_renewal;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_reachableSince;
    std::optional<TimePoint> m_unreachableSince;
    std::optional<TimePoint> m_outageBegan; ///< Beginning of the outage whose lapsed entries may still come back.
    std::optional<TimePoint> m_settlesAt;
};

}
