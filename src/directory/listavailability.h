#pragma once

#include "base/types.h"

#include <optional>

namespace rosemaryshift::directory {

/// Tracks whether this host can read the platform's list of upstreams, and whether an entry that is missing from it may come back. During an outage
/// of the list for everyone, entries lapse although their upstreams still serve; those are listed again shortly after the outage. When only this
/// host could not read the list, as the reports of peers show, upstreams went on renewing their entries, and an upstream whose entry is missing has
/// left. The list is unsettled while missing entries may come back. Each call passes the current time. Not thread-safe.
///
/// The time that the reader itself chooses to wait between two reads is no outage, however it compares with the renewals: only a read that failed, or one that
/// came later than planned by more than a renewal, as after a suspension.
class ListAvailability
{
public:
    /// @p renewal is the interval at which an upstream renews its entry; entries survive an outage of this length. @p readInterval: planned time between
    /// two reads, at most a renewal, so that no outage in which entries lapse passes between two reads that are on time.
    ListAvailability(Duration renewal, Duration readInterval);

    /// Notes that the list was read. Returns how long it had been unreachable before; nothing when it had been reachable.
    std::optional<Duration> noteRead(TimePoint now);
    /// Notes that the list could not be read. Returns whether this begins an outage.
    bool noteFailure(TimePoint now);
    /// Notes a peer's report that it has been able to read the list for @p reachableTime until about @p now. Returns whether this settles the list:
    /// upstreams whose entries are missing have left.
    bool notePeer(Duration reachableTime, TimePoint now);

    /// Whether the last attempt of this host to read the list failed.
    [[nodiscard]] bool unreachable() const;
    /// How long this host has been able to read the list; nothing while it cannot, or when its last read is overdue by more than a renewal.
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
    /// Whether the read after the last one is overdue at @p now by so much that entries may have lapsed. Precondition: the list was read before.
    [[nodiscard]] bool overdue(TimePoint now) const;

    const Duration m_renewal;
    const Duration m_readInterval;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_reachableSince;
    std::optional<TimePoint> m_unreachableSince;
    std::optional<TimePoint> m_outageBegan; ///< Beginning of the outage whose lapsed entries may still come back.
    std::optional<TimePoint> m_settlesAt;
};

/// Time between two reads of the list: an upstream that leaves is known several times within @p maxLeavingDelay, and no outage of the list in which entries
/// lapse, which are renewed each @p renewal, passes unnoticed. Thread-safe.
Duration listReadInterval(Duration maxLeavingDelay, Duration renewal);

}
