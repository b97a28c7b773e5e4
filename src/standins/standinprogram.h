#pragma once

#include "program/program.h"
#include "standins/standinserver.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <string>

namespace rosemaryshift::standins {

/// Text that a stand-in's program prints for --help.
inline std::string standinUsage(const std::string &name, const std::string &purpose)
{
    return purpose + "\n\nUsage:\n  " + name + " --settings FILE [--check-settings]\n  " + name
        + " (--help | --version)\n\nOptions:\n  --settings FILE   Settings in TOML.\n  --check-settings  Check the settings and stop.\n"
          "  --help            Show this text.\n  --version         Show the version.\n";
}

/// Runs the program of one stand-in: reads its settings, listens, and serves until SIGTERM.
template <typename Standin, typename Settings>
int runStandin(int argc, char **argv, const std::string &name, const std::string &purpose, Settings (*read)(SettingsDocument &))
{
    const program::Arguments arguments(standinUsage(name, purpose), std::span(argv, static_cast<std::size_t>(argc)), name);
    const std::string file = arguments.text("--settings");
    const std::optional<std::string> text = program::readSettings(file);
    if (!text) {
        return program::BadUsage;
    }
    SettingsDocument document(*text, file);
    const Settings settings = read(document);
    if (!document.errors().empty()) {
        std::fputs(document.errorText().c_str(), stderr);
        return program::BadUsage;
    }
    if (arguments.flag("--check-settings")) {
        return program::Success;
    }
    program::startLog(name, settings.logLevel);
    boost::asio::io_context context(1);
    Standin standin(settings);
    std::string reason;
    const std::unique_ptr<http::IHttpServer> server = http::makeHttpServer(
        context,
        settings.address,
        {},
        [&standin](http::Request request, http::IResponseWriter &writer) { return standin.handle(std::move(request), writer); },
        reason);
    if (!server) {
        spdlog::error("event=start_failed reason=\"{}\"", reason);
        return program::Failed;
    }
    spdlog::info("event=listening address={}", server->endpoint().text());
    const program::SignalWatch watch(context, [&context] { context.stop(); });
    context.run();
    return program::Success;
}

}
