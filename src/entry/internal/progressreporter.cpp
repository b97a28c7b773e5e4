#include "entry/internal/progressreporter.h"

#include <utility>

namespace rosemaryshift::entry {

ProgressReporter::ProgressReporter(ReportCallback report)
    : m_report(std::move(report))
{
}

void ProgressReporter::add(std::uint32_t tokens, Clock::time_point now)
{
    m_unreportedTokens += tokens;
    if (now >= m_nextReportAt) {
        m_nextReportAt = now + Interval;
        flush();
    }
}

void ProgressReporter::flush()
{
    const std::uint32_t tokens = std::exchange(m_unreportedTokens, 0);
    if (tokens > 0) {
        m_report(tokens);
    }
}

}
