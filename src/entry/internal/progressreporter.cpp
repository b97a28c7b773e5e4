#include "entry/internal/progressreporter.h"

#include <utility>

namespace rosemaryshift::entry {

ProgressReporter::ProgressReporter(ReportCallback report)
    : m_report(std::move(report))
{
}

void ProgressReporter::add(std::uint32_t tokens, Clock::time_point now)
{
    m_untold += tokens;
    if (now >= m_next) {
        m_next = now + Interval;
        flush();
    }
}

void ProgressReporter::flush()
{
    const std::uint32_t tokens = std::exchange(m_untold, 0);
    if (tokens > 0) {
        m_report(tokens);
    }
}

}
