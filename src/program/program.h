#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::program {

/// Exit codes of all programs.
enum ExitCode : int {
    Success = 0,
    Failed = 1,   ///< The work could not be done.
    BadUsage = 2, ///< The command line or the settings are wrong.
};

/// Holds the signals that stop a process or have it read its settings again back until admitSignals(), so that one which comes during the start does not end
/// the process. Ignores the signal for output whose reader has gone; writing it fails then. Precondition: called first in main(), before other threads start.
void holdSignals();
/// Admits the signals that were held back, and delivers those that have come. Precondition: their handlers are set up; called by the thread that called
/// holdSignals().
void admitSignals();

/// Command line of a program, parsed according to its docopt usage text.
class Arguments
{
public:
    /// Parses the command line; exits the process on --help, on --version and on a wrong command line.
    Arguments(std::string_view usage, std::span<char *const> arguments, std::string_view programName);

    /// Value of an option or positional argument; empty when not given.
    [[nodiscard]] std::string text(const std::string &name) const;
    /// True when a flag or command was given.
    [[nodiscard]] bool flag(const std::string &name) const;
    /// Values of an argument that may be given several times.
    [[nodiscard]] std::vector<std::string> texts(const std::string &name) const;

private:
    struct Parsed;
    std::shared_ptr<const Parsed> m_parsed;
};

/// Sets up the default logger, which writes lines of key=value pairs to standard error. Precondition: called once, before other threads start.
void startLog(std::string_view programName, std::string_view level);

/// Reads the settings file; nothing, with the reason printed to standard error, when it cannot be read or is too large.
std::optional<std::string> readSettings(const std::string &path);

/// Reads a token from the first line of a file; nothing, with @p reason set, when the file cannot be read or its first line is blank.
std::optional<std::string> readToken(const std::string &path, std::string &reason);

/// Calls @p onSignal on @p context for each SIGTERM and SIGINT until destroyed.
class SignalWatch
{
public:
    SignalWatch(boost::asio::io_context &context, std::function<void()> onSignal);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
