#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace rosemaryshift::entry {

/// Rate-limits the progress reports of an attempt: the first tokens are reported at once, later ones at most once per
/// interval. The load of the control thread thus depends on the number of running attempts, not of tokens. Not thread-safe.
class ProgressReporter
{
public:
    using Clock = std::chrono::steady_clock;
    using ReportCallback = std::function<void(std::uint32_t tokens)>;

    /// Shortest time between two reports, apart from flush().
    static constexpr std::chrono::milliseconds Interval{200};

    explicit ProgressReporter(ReportCallback report);

    /// Adds tokens received at @p now and reports them if a report is due.
    void add(std::uint32_t tokens, Clock::time_point now);
    /// Reports the tokens not reported yet, if any.
    void flush();

private:
    const ReportCallback m_report;
    std::uint32_t m_unreportedTokens = 0;
    Clock::time_point m_nextReportAt = Clock::time_point::min();
};

}
