#include "directory/listavailability.h"

namespace rosemaryshift::directory {

namespace {

/// Upstreams that live are listed again within this time after an outage of the list; the platform states it.
constexpr std::chrono::milliseconds SettlingTime{2'000};

}

ListAvailability::ListAvailability(Duration renewal)
    : m_renewal(renewal)
{
}

std::optional<Duration> ListAvailability::noteRead(TimePoint now)
{
    // The time since the last read counts, since a host that stood still saw no read fail.
    const bool gap = m_lastRead && now - *m_lastRead > m_renewal;
    if (gap) {
        // What lapsed in an earlier outage has not settled when another one follows.
        m_outageBegan = m_settlesAt ? m_outageBegan : m_lastRead;
        m_settlesAt = now + SettlingTime;
    }
    if (gap || !m_inReachSince) {
        m_inReachSince = now;
    }
    m_lastRead = now;
    if (!m_lostSince) {
        return std::nullopt;
    }
    const Duration outage = now - *m_lostSince;
    m_lostSince.reset();
    return outage;
}

bool ListAvailability::noteFailure(TimePoint now)
{
    if (m_lostSince) {
        return false;
    }
    m_lostSince = now;
    m_inReachSince.reset();
    return true;
}

bool ListAvailability::notePeer(Duration inReach, TimePoint now)
{
    // A gap of one renewal on either side of the outage lets no entry lapse.
    if (!m_settlesAt || now - inReach > *m_outageBegan + m_renewal) {
        return false;
    }
    noteSettled();
    return true;
}

bool ListAvailability::unreachable() const
{
    return m_lostSince.has_value();
}

std::optional<Duration> ListAvailability::reachableFor(TimePoint now) const
{
    if (!m_inReachSince || now - *m_lastRead > m_renewal) {
        return std::nullopt;
    }
    return now - *m_inReachSince;
}

bool ListAvailability::unsettled(TimePoint now) const
{
    return m_settlesAt && now < *m_settlesAt;
}

std::optional<TimePoint> ListAvailability::settlesAt() const
{
    return m_settlesAt;
}

void ListAvailability::noteSettled()
{
    m_settlesAt.reset();
    m_outageBegan.reset();
}

}
