#include "rollouts/exposurelimit.h"

namespace rosemaryshift::rollouts {

ExposureLimit::ExposureLimit(double share, double slackPart, double start)
    : m_share(share)
    , m_slackPart(slackPart)
    , m_start(start)
{
}

void ExposureLimit::noteRequest()
{
    ++m_requests;
}

void ExposureLimit::noteExposed()
{
    ++m_exposed;
}

bool ExposureLimit::allows(ExposureUse use) const
{
    const double next = static_cast<double>(m_exposed) + 1;
    const double requests = static_cast<double>(m_requests);
    const double part = use == ExposureUse::Completing ? UndecidedPart + CompletedPart : UndecidedPart;
    if (next > m_share * part * requests + m_slackPart) {
        return false;
    }
    return use != ExposureUse::Trickle || next <= m_share * TricklePart * requests + m_start;
}

std::uint64_t ExposureLimit::requests() const
{
    return m_requests;
}

std::uint64_t ExposureLimit::exposed() const
{
    return m_exposed;
}

}
