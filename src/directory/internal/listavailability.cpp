#include "directory/listavailability.h"

#include <algorithm>

namespace rosemaryshift::directory {

namespace {

/// Running upstreams are listed again within this time after an outage of the list, as guaranteed by the platform.
constexpr std::chrono::milliseconds SettlingTime{2'000};
/// Number of reads in the time after which a leaving upstream must get no new requests.
constexpr int ReadsPerLeavingDelay = 3;

}

ListAvailability::ListAvailability(Duration renewal, Duration readInterval)
    : m_renewal(renewal)
    , m_readInterval(readInterval)
{
}

bool ListAvailability::overdue(TimePoint now) const
{
    return now - *m_lastRead > m_readInterval + m_renewal;
}

std::optional<Duration> ListAvailability::noteRead(TimePoint now)
{
    // Uses the time since the last read, because a host that was suspended saw no read fail.
    const bool gap = m_lastRead && (overdue(now) || (m_unreachableSince && now - *m_lastRead > m_renewal));
    if (gap) {
        // Entries that lapsed in an earlier outage may still come back when another outage follows before the list has settled.
        m_outageBegan = m_settlesAt ? m_outageBegan : m_lastRead;
        m_settlesAt = now + SettlingTime;
    }
    if (gap || !m_reachableSince) {
        m_reachableSince = now;
    }
    m_lastRead = now;
    if (!m_unreachableSince) {
        return std::nullopt;
    }
    const Duration outage = now - *m_unreachableSince;
    m_unreachableSince.reset();
    return outage;
}

bool ListAvailability::noteFailure(TimePoint now)
{
    if (m_unreachableSince) {
        return false;
    }
    m_unreachableSince = now;
    m_reachableSince.reset();
    return true;
}

bool ListAvailability::notePeer(Duration reachableTime, TimePoint now)
{
    // The peer may have begun to read the list up to one renewal after the outage began, since no entry lapses in that time.
    if (!m_settlesAt || now - reachableTime > *m_outageBegan + m_renewal) {
        return false;
    }
    noteSettled();
    return true;
}

bool ListAvailability::unreachable() const
{
    return m_unreachableSince.has_value();
}

std::optional<Duration> ListAvailability::reachableFor(TimePoint now) const
{
    if (!m_reachableSince || overdue(now)) {
        return std::nullopt;
    }
    return now - *m_reachableSince;
}

bool ListAvailability::unsettled(TimePoint now) const
{
    return m_settlesAt && now < *m_settlesAt;
}

std::optional<TimePoint> ListAvailability::settlesAt() const
{
    return m_settlesAt;
}

std::optional<TimePoint> ListAvailability::outageBegan() const
{
    return m_outageBegan;
}

void ListAvailability::noteSettled()
{
    m_settlesAt.reset();
    m_outageBegan.reset();
}

Duration listReadInterval(Duration maxLeavingDelay, Duration renewal)
{
    return std::min(maxLeavingDelay / ReadsPerLeavingDelay, renewal);
}

}
