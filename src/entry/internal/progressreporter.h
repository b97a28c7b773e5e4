#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace rosemaryshift::entry {

/// Tells of an attempt's tokens: of the first ones at once, later at most once in each interval, so that what the control
/// thread does follows the number of attempts under way and not that of tokens. Not thread-safe.
class ProgressReporter
{
public:
    using Clock = std::chrono::steady_clock;
    using ReportCallback = std::function<void(std::uint32_t tokens)>;

    static constexpr std::chrono::milliseconds Interval{200};

    explicit ProgressReporter(ReportCallback report);

    /// Takes in tokens that came at @p now.
    void add(std::uint32_t tokens, Clock::time_point now);
    /// Tells of the tokens not told of yet, if any.
    void flush();

private:
    const ReportCallback m_report;
    std::uint32_t m_unreportedTokens = 0;
    Clock::time_point m_nextReportAt = Clock::time_point::min();
};

}
