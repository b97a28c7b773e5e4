#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

namespace rosemaryshift::gateway {

bool RequestSession::admitByLoad()
{
    const TimePoint now = hostNow();
    const std::optional<overload::Rejection> rejection = m_admission->admit(remainingTime(now), now);
    if (!rejection) {
        m_waitsForAnswer = true;
        return true;
    }
    m_rejectionStatus = 503;
    m_reason = overload::name(rejection->reason);
    m_retryAfter = rejection->retryAfter;
    return false;
}

void RequestSession::noteAnswering()
{
    if (m_waitsForAnswer) {
        m_waitsForAnswer = false;
        m_admission->noteAnswering();
    }
}

}
