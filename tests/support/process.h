#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rosemaryshift::testing {

/// One program under test. Killed when the object goes away. Not thread-safe.
class Process
{
public:
    /// Starts @p program from the build's folder of programs.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits for a log line that holds @p text and gives it; fails the test when none comes within the limit.
    std::string awaitLine(const std::string &text);
    /// Value of @p key in a key=value line.
    static std::string valueIn(const std::string &line, const std::string &key);
    /// Sends a signal.
    void signal(int number) const;
    /// Stops the process with SIGSTOP and waits until all of its threads stand still.
    void freeze() const;
    /// Leaves what the process writes unread until resumeReading(), so that its pipe fills up. A read under way still ends.
    void pauseReading();
    void resumeReading();
    /// Waits for the end and gives the exit code, or minus the signal that ended it.
    int awaitExit();
    [[nodiscard]] pid_t pid() const;
    /// All lines of log and output so far.
    [[nodiscard]] std::vector<std::string> lines() const;

private:
    void readLines(int descriptor);
    std::optional<int> reap(bool block);

    pid_t m_pid = -1;
    std::optional<int> m_exit;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    bool m_closed = false;
    bool m_paused = false;
    std::thread m_reader;
};

/// Bound on every wait of a test; generous, since machines under test are busy.
constexpr std::chrono::seconds WaitLimit{60};

}
