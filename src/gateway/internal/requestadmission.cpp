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

bool RequestSession::chargeQuota()
{
    if (m_charged) {
        return true;
    }
    const TimePoint now = hostNow();
    if (m_workspace != nullptr) {
        const bool countsTokens = m_workspace->unit == routing::QuotaUnit::Tokens;
        const double tokenCount = m_callerRequest.promptTokens ? static_cast<double>(*m_callerRequest.promptTokens + m_callerRequest.maxOutputTokens)
                                                               : static_cast<double>(m_workspace->tokensOfPlainRequest);
        const double cost = countsTokens ? tokenCount : 1;
        if (const std::optional<Duration> wait = m_context.quotas.take(m_workspace->name, cost, now)) {
            m_rejectionStatus = 429;
            m_reason = "over_quota";
            m_retryAfter = *wait;
            return false;
        }
        m_quotaCost = cost;
    }
    m_charged = true;
    m_context.retryBudget.noteRequest(m_service, now);
    if (m_route->repeatable()) {
        m_context.secondTries.noteRequest();
    }
    return true;
}

void RequestSession::refundQuota()
{
    if (m_quotaCost > 0) {
        m_context.quotas.refund(m_workspace->name, m_quotaCost);
    }
    m_quotaCost = 0;
    m_charged = false;
}

}
