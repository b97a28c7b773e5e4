#include "gateway/internal/hostclock.h"
#include "gateway/internal/requestsession.h"

#include <algorithm>

namespace rosemaryshift::gateway {

void RequestSession::endByStop()
{
    m_endedByStop = true;
    if (m_exchange) {
        m_exchange->cancel();
    }
}

bool RequestSession::endsBeforeStop(Duration expected, TimePoint now)
{
    if (!m_context.stop.begun()) {
        return true;
    }
    const Duration spent = m_streamStarted ? now - m_handledAt : Duration::zero();
    const Duration usual = m_context.answerTimes.expected(m_service, m_route->kind) - spent;
    if (!m_endedByStop && m_context.stop.fits(std::max(expected, usual), remainingTime(now), now)) {
        return true;
    }
    m_reason = "stopping";
    m_retryAfter = Duration::zero();
    return false;
}

void RequestSession::noteAnswerTime(TimePoint now)
{
    m_context.answerTimes.note(m_service, m_route->kind, now - m_handledAt);
}

void RequestSession::noteEndedByStop()
{
    m_reason = "stopping";
    m_retryAfter = Duration::zero();
    m_retryInVain = false;
    std::string_view run = "may_have_run";
    if (m_streamStarted) {
        run = "stream_broken_off";
        ++m_context.endedByStop.streamsBrokenOff;
    } else if (m_attemptState->mayRejectAsNotRun()) {
        run = "not_run";
        ++m_context.endedByStop.notRun;
    } else {
        ++m_context.endedByStop.mayHaveRun;
    }
    m_context.metrics.count("rosemaryshift_requests_ended_by_stop_total", R"(run=")" + std::string(run) + R"(")");
}

}
