#include "support/process.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace rosemaryshift::testing {

namespace {

std::string programPath(const std::string &program)
{
    return std::string(ROSEMARYSHIFT_PROGRAMS) + "/" + program;
}

[[noreturn]] void execProgram(const std::string &path, const std::vector<std::string> &arguments, int outputDescriptor)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(outputDescriptor, STDOUT_FILENO);
    ::dup2(outputDescriptor, STDERR_FILENO);
    std::vector<char *> words{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    ::execv(path.c_str(), words.data());
    ::_exit(127);
}

}

Process::Process(const std::string &program, const std::vector<std::string> &arguments)
{
    std::array<int, 2> pipe{};
    REQUIRE(::pipe2(pipe.data(), O_CLOEXEC) == 0);
    const std::string path = programPath(program);
    m_pid = ::fork();
    REQUIRE(m_pid >= 0);
    if (m_pid == 0) {
        execProgram(path, arguments, pipe[1]);
    }
    ::close(pipe[1]);
    m_reader = std::thread([this, descriptor = pipe[0]] { readLines(descriptor); });
}

Process::~Process()
{
    if (!reap(false)) {
        ::kill(m_pid, SIGKILL);
        reap(true);
    }
    resumeReading();
    m_reader.join();
}

void Process::readLines(int descriptor)
{
    std::array<char, 4096> bytes{};
    std::string partial;
    ssize_t count = 0;
    while ((count = ::read(descriptor, bytes.data(), bytes.size())) > 0) {
        partial.append(bytes.data(), static_cast<std::size_t>(count));
        std::unique_lock lock(m_mutex);
        std::size_t end = 0;
        while ((end = partial.find('\n')) != std::string::npos) {
            m_lines.push_back(partial.substr(0, end));
            partial.erase(0, end + 1);
        }
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_paused; });
        if (m_closing) {
            break;
        }
    }
    ::close(descriptor);
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

std::string Process::awaitLine(const std::string &text)
{
    std::unique_lock lock(m_mutex);
    std::size_t seen = 0;
    std::string found;
    const bool there = m_changed.wait_for(lock, WaitLimit, [&] {
        for (; seen < m_lines.size(); ++seen) {
            if (m_lines[seen].find(text) != std::string::npos) {
                found = m_lines[seen];
                return true;
            }
        }
        return m_closed;
    });
    INFO("waiting for a log line with: " << text);
    std::string lastLines;
    constexpr std::size_t ShownLines = 5;
    for (std::size_t line = m_lines.size() - std::min(m_lines.size(), ShownLines); line < m_lines.size(); ++line) {
        lastLines += m_lines[line] + '\n';
    }
    const std::optional<int> exit = found.empty() ? reap(false) : std::nullopt;
    INFO("output closed: " << m_closed << ", exit: " << exit.value_or(0) << ", last lines:\n" << lastLines);
    REQUIRE(there);
    REQUIRE_FALSE(found.empty());
    return found;
}

std::string Process::valueIn(const std::string &line, const std::string &key)
{
    const std::size_t at = line.find(" " + key + "=");
    REQUIRE(at != std::string::npos);
    const std::size_t first = at + key.size() + 2;
    return line.substr(first, line.find(' ', first) - first);
}

void Process::signal(int number) const
{
    REQUIRE(::kill(m_pid, number) == 0);
}

std::optional<int> Process::reap(bool block)
{
    if (m_exit) {
        return m_exit;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, block ? 0 : WNOHANG) == m_pid) {
        m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_exit;
}

void Process::freeze() const
{
    signal(SIGSTOP);
    siginfo_t info{};
    REQUIRE(::waitid(P_PID, static_cast<id_t>(m_pid), &info, WSTOPPED) == 0);
}

void Process::pauseReading()
{
    const std::lock_guard lock(m_mutex);
    m_paused = true;
}

void Process::closeOutput()
{
    const std::lock_guard lock(m_mutex);
    m_closing = true;
}

void Process::resumeReading()
{
    const std::lock_guard lock(m_mutex);
    m_paused = false;
    m_changed.notify_all();
}

int Process::awaitExit()
{
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, WaitLimit, [this] { return m_closed; }));
    }
    return reap(true).value_or(-1);
}

pid_t Process::pid() const
{
    return m_pid;
}

std::vector<std::string> Process::lines() const
{
    const std::lock_guard lock(m_mutex);
    return m_lines;
}

}
