#include "gateway/internal/logeratracker.h"

#include <algorithm>
#include <utility>

namespace rosemaryshift::gateway {

LogEraTracker::LogEraTracker(Listener listener)
    : m_listener(std::move(listener))
{
}

bool LogEraTracker::note(ports::LogEra era)
{
    if (m_current && era && *era < *m_current) {
        return false;
    }
    // A log that has not stated its era before may have begun to do so when it was restored.
    const bool rose = m_noted && era > m_current;
    m_noted = true;
    m_current = std::max(m_current, era);
    if (rose) {
        ++m_rises;
        if (m_listener) {
            m_listener(*era);
        }
    }
    return true;
}

ports::LogEra LogEraTracker::current() const
{
    return m_current;
}

std::uint64_t LogEraTracker::rises() const
{
    return m_rises;
}

}
