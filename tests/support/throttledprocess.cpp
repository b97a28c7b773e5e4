#include "support/throttledprocess.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace rosemaryshift::testing {

namespace {

/// Interval at which the used processor time is compared with the granted time.
constexpr std::chrono::microseconds CheckInterval{500};

}

ThrottledProcess::ThrottledProcess(pid_t pid, double share, std::chrono::milliseconds period)
    : m_pid(pid)
    , m_period(period)
    , m_grant(static_cast<std::chrono::nanoseconds::rep>(share * static_cast<double>(m_period.count())))
{
    REQUIRE(share > 0);
    REQUIRE(::clock_getcpuclockid(pid, &m_clock) == 0);
    m_thread = std::jthread([this](const std::stop_token &stop) { throttle(stop); });
}

ThrottledProcess::~ThrottledProcess()
{
    m_thread.request_stop();
    m_thread.join();
    ::kill(m_pid, SIGCONT);
}

std::chrono::nanoseconds ThrottledProcess::processorTime() const
{
    timespec time{};
    ::clock_gettime(m_clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void ThrottledProcess::throttle(const std::stop_token &stop)
{
    std::chrono::steady_clock::time_point nextGrant = std::chrono::steady_clock::now();
    std::chrono::nanoseconds limit = processorTime();
    bool running = true;
    while (!stop.stop_requested()) {
        const std::chrono::nanoseconds used = processorTime();
        for (const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now(); nextGrant <= now; nextGrant += m_period) {
            // Time used beyond the limit, until the process was stopped, is taken from the next grants.
            limit = std::min(limit, used + m_grant) + m_grant;
        }
        const bool mayRun = used < limit;
        if (mayRun != running) {
            ::kill(m_pid, mayRun ? SIGCONT : SIGSTOP);
            running = mayRun;
        }
        std::this_thread::sleep_for(CheckInterval);
    }
}

}
