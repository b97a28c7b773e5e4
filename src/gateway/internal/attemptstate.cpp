#include "gateway/internal/attemptstate.h"

namespace rosemaryshift::gateway {

std::string_view name(RunKnowledge knowledge)
{
    switch (knowledge) {
    case RunKnowledge::NotOffered:
        return "not_offered";
    case RunKnowledge::KnownNotRun:
        return "known_not_run";
    case RunKnowledge::Offered:
        return "offered";
    case RunKnowledge::Running:
        return "running";
    case RunKnowledge::Answered:
        return "answered";
    }
    return "unknown";
}

AttemptState::AttemptState(bool repeatable, std::uint32_t maxOffers)
    : m_repeatable(repeatable)
    , m_maxOffers(maxOffers)
{
}

void AttemptState::noteOffered()
{
    m_beforeOffer = m_knowledge;
    m_knowledge = RunKnowledge::Offered;
    ++m_offers;
}

void AttemptState::noteNotSent()
{
    m_knowledge = m_beforeOffer;
    --m_offers;
}

void AttemptState::noteNotRun()
{
    const bool ranBefore = m_beforeOffer == RunKnowledge::Offered || m_beforeOffer == RunKnowledge::Running;
    m_knowledge = ranBefore ? m_beforeOffer : RunKnowledge::KnownNotRun;
}

void AttemptState::noteRunning()
{
    m_knowledge = RunKnowledge::Running;
}

void AttemptState::noteAnswered()
{
    m_knowledge = RunKnowledge::Answered;
}

RunKnowledge AttemptState::knowledge() const
{
    return m_knowledge;
}

bool AttemptState::mayRefuse() const
{
    return m_knowledge == RunKnowledge::NotOffered || m_knowledge == RunKnowledge::KnownNotRun;
}

bool AttemptState::mayOffer() const
{
    return m_knowledge != RunKnowledge::Answered && m_offers < m_maxOffers && (m_repeatable || mayRefuse());
}

std::uint32_t AttemptState::offers() const
{
    return m_offers;
}

}
