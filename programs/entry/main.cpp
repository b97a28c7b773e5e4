#include "entry/ientryhost.h"
#include "program/program.h"
#include "settings/settingsdocument.h"

#include <spdlog/spdlog.h>

#include <cstdio>
#include <thread>

using namespace rosemaryshift;

namespace {

constexpr std::string_view Name = "rosemaryshift-entry";
constexpr std::string_view Usage = R"(Runs one entry host, which forwards callers' requests to upstreams.

Usage:
  rosemaryshift-entry --settings FILE [--check-settings]
  rosemaryshift-entry (--help | --version)

Options:
  --settings FILE   Settings in TOML.
  --check-settings  Check the settings and stop.
  --help            Show this text.
  --version         Show the version.
)";

void run(entry::IEntryHost &host, const entry::EntrySettings &settings)
{
    spdlog::info("event=listening name={} zone={} callers={} peers={} operators={}",
                 settings.name,
                 settings.zone,
                 host.callerEndpoint().text(),
                 host.peerEndpoint().text(),
                 host.operatorEndpoint().text());
    boost::asio::io_context signals;
    const program::SignalWatch watch(signals, [&host] { host.stop(); });
    program::admitSignals();
    std::thread signalThread([&signals] { signals.run(); });
    host.run();
    signals.stop();
    signalThread.join();
}

}

int main(int argc, char **argv)
{
    program::holdSignals();
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    const std::string file = arguments.text("--settings");
    const std::optional<std::string> text = program::readSettings(file);
    if (!text) {
        return program::BadUsage;
    }
    SettingsDocument document(*text, file);
    const entry::EntrySettings settings = entry::readEntrySettings(document);
    if (!document.errors().empty()) {
        std::fputs(document.errorText().c_str(), stderr);
        return program::BadUsage;
    }
    if (arguments.flag("--check-settings")) {
        return program::Success;
    }
    program::startLog(Name, settings.logLevel);
    std::string reason;
    const std::unique_ptr<entry::IEntryHost> host = entry::makeEntryHost(settings, reason);
    if (!host) {
        spdlog::error("event=start_failed reason=\"{}\"", reason);
        return program::Failed;
    }
    run(*host, settings);
    return program::Success;
}
