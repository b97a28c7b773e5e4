#include "program/program.h"

#include "base/text.h"

#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdio>

namespace rosemaryshift::program {

namespace {

constexpr std::size_t MaxSettingsBytes = 1024 * 1024;
constexpr std::size_t MaxTokenBytes = 4096;

/// Blocks or unblocks, by @p how, the signals that programs handle by themselves.
void changeSignalMask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(how, &signals, nullptr);
}

}

void holdSignals()
{
    changeSignalMask(SIG_BLOCK);
    std::signal(SIGPIPE, SIG_IGN);
}

void admitSignals()
{
    changeSignalMask(SIG_UNBLOCK);
}

struct Arguments::Parsed {
    std::map<std::string, docopt::value> values;
};

Arguments::Arguments(std::string_view usage, std::span<char *const> arguments, std::string_view programName)
{
    const std::vector<std::string> words(arguments.begin() + 1, arguments.end());
    try {
        m_parsed = std::make_shared<Parsed>(Parsed{docopt::docopt_parse(std::string(usage), words, true, true)});
    } catch (const docopt::DocoptExitHelp &) {
        std::fputs(std::string(usage).c_str(), stdout);
        std::exit(Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::puts((std::string(programName) + " " + ROSEMARYSHIFT_VERSION).c_str());
        std::exit(Success);
    } catch (const docopt::DocoptArgumentError &error) {
        std::fputs((std::string(programName) + ": " + error.what() + "\n" + std::string(usage)).c_str(), stderr);
        std::exit(BadUsage);
    }
}

std::string Arguments::text(const std::string &name) const
{
    const auto found = m_parsed->values.find(name);
    return found != m_parsed->values.end() && found->second.isString() ? found->second.asString() : std::string();
}

bool Arguments::flag(const std::string &name) const
{
    const auto found = m_parsed->values.find(name);
    return found != m_parsed->values.end() && found->second.isBool() && found->second.asBool();
}

std::vector<std::string> Arguments::texts(const std::string &name) const
{
    const auto found = m_parsed->values.find(name);
    return found != m_parsed->values.end() && found->second.isStringList() ? found->second.asStringList() : std::vector<std::string>();
}

void startLog(std::string_view programName, std::string_view level)
{
    const std::shared_ptr<spdlog::logger> logger = spdlog::stderr_logger_mt(std::string(programName));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v", spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(std::string(level)));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

std::optional<std::string> readSettings(const std::string &path)
{
    std::string reason;
    std::optional<std::string> text = readFile(path, MaxSettingsBytes, reason);
    if (!text) {
        std::fputs((reason + "\n").c_str(), stderr);
    }
    return text;
}

std::optional<std::string> readToken(const std::string &path, std::string &reason)
{
    const std::optional<std::string> text = readFile(path, MaxTokenBytes, reason);
    if (!text) {
        return std::nullopt;
    }
    std::string token(trimmed(std::string_view(*text).substr(0, text->find('\n'))));
    if (token.empty()) {
        reason = path + ": the first line holds no token";
        return std::nullopt;
    }
    return token;
}

struct SignalWatch::State : std::enable_shared_from_this<State> {
    State(boost::asio::io_context &context, std::function<void()> callback)
        : signals(context, SIGTERM, SIGINT)
        , onSignal(std::move(callback))
    {
    }

    void wait()
    {
        signals.async_wait([self = shared_from_this()](const boost::system::error_code &error, int) {
            if (error) {
                return;
            }
            self->onSignal();
            self->wait();
        });
    }

    boost::asio::signal_set signals;
    std::function<void()> onSignal;
};

SignalWatch::SignalWatch(boost::asio::io_context &context, std::function<void()> onSignal)
    : m_state(std::make_shared<State>(context, std::move(onSignal)))
{
    m_state->wait();
}

SignalWatch::~SignalWatch()
{
    m_state->signals.cancel();
}

}
