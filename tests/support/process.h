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

/// A program under test as a child process, killed when the object is destroyed. Not thread-safe.
class Process
{
public:
    /// Starts @p program from the folder into which the build puts its programs.
    Process(const std::string &program, const std::vector<std::string> &arguments);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /// Waits for a line of output that contains @p text and returns it; fails the test when none comes within WaitLimit.
    std::string awaitLine(const std::string &text);
    /// Returns the value of @p key in a log line of key=value pairs; fails the test when the key is missing.
    static std::string valueIn(const std::string &line, const std::string &key);
    /// Sends signal @p number to the process.
    void signal(int number) const;
    /// Stops the process with SIGSTOP and waits until all of its threads are stopped.
    void freeze() const;
    /// Stops reading the output of the process until resumeReading(), so that its pipe fills up. A read in progress
    /// still completes.
    void pauseReading();
    void resumeReading();
    /// Closes the reading end of the output once the next output has come, as when the reader of a log ends.
    void closeOutput();
    /// Waits until the process ends and returns its exit code, or the negated number of the signal that ended it.
    int awaitExit();
    [[nodiscard]] pid_t pid() const;
    /// Returns all lines written to standard output and standard error so far.
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
    bool m_closing = false; ///< closeOutput() was called.
    std::thread m_reader;
};

/// Longest time that a test waits for one condition; generous, since the machines that run the tests may be busy.
constexpr std::chrono::seconds WaitLimit{60};

}
