#pragma once

#include <sys/types.h>

#include <chrono>
#include <ctime>
#include <thread>

namespace rosemaryshift::testing {

/// Limits a running process to a share of a core, like a quota on its processor time: stops it by SIGSTOP when the time granted so far is used up, and
/// continues it by SIGCONT later. Not thread-safe.
class ThrottledProcess
{
public:
    /// Throttles the child process @p pid to @p share of a core until the object is destroyed, granting its processor time once in each @p period. The
    /// unused time of one period can still be used in the next. Precondition: the process has not been reaped when the object is destroyed.
    ThrottledProcess(pid_t pid, double share, std::chrono::milliseconds period = std::chrono::milliseconds(20));
    /// Lets the process run freely again.
    ~ThrottledProcess();
    ThrottledProcess(const ThrottledProcess &) = delete;
    ThrottledProcess &operator=(const ThrottledProcess &) = delete;

    /// Processor time that all threads of the process have used since its start.
    [[nodiscard]] std::chrono::nanoseconds processorTime() const;

private:
    void throttle(const std::stop_token &stop);

    const pid_t m_pid;
    const std::chrono::nanoseconds m_period;
    const std::chrono::nanoseconds m_grant; ///< Processor time granted in each period.
    clockid_t m_clock = 0;                  ///< Clock of the processor time of the process.
    std::jthread m_thread;
};

}
