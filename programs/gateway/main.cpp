#include "gateway/igateway.h"
#include "platform/adapter.h"
#include "program/program.h"
#include "settings/settingsdocument.h"

#include <cstdio>
#include <cstdlib>

using namespace rosemaryshift;

namespace {

constexpr std::string_view Name = "rosemaryshift-gateway";
constexpr std::string_view Usage = R"(Runs one gateway, which forwards callers' requests to a platform's upstreams.

Usage:
  rosemaryshift-gateway (--settings FILE | --settings-variable NAME) [--check-settings]
  rosemaryshift-gateway (--help | --version)

Options:
  --settings FILE           Settings in TOML.
  --settings-variable NAME  Environment variable that holds the path of the settings.
  --check-settings          Check the settings and stop.
  --help                    Show this text.
  --version                 Show the version.
)";

std::string settingsPath(const program::Arguments &arguments)
{
    const std::string variable = arguments.text("--settings-variable");
    if (variable.empty()) {
        return arguments.text("--settings");
    }
    const char *const value = std::getenv(variable.c_str());
    return value == nullptr ? std::string() : value;
}

std::optional<gateway::GatewaySettings> readSettings(const std::string &path)
{
    const std::optional<std::string> text = program::readSettings(path);
    if (!text) {
        return std::nullopt;
    }
    SettingsDocument document(*text, path);
    gateway::GatewaySettings settings = gateway::readGatewaySettings(document);
    if (!document.errors().empty()) {
        std::fputs(document.errorText().c_str(), stderr);
        return std::nullopt;
    }
    return settings;
}

gateway::PlatformPorts makePorts(const gateway::GatewaySettings &settings)
{
    gateway::PlatformPorts ports;
    ports.messageCodec = adapter::makeMessageCodec();
    ports.platformCodec = adapter::makePlatformCodec();
    ports.configurationLog = adapter::makePlatformLog(settings.platformLog);
    ports.platformLog = adapter::makePlatformLog(settings.platformLog);
    ports.streamMover = adapter::makeStreamMover();
    if (settings.dutyService) {
        ports.dutyClient = adapter::makeDutyClient(*settings.dutyService);
    }
    return ports;
}

}

int main(int argc, char **argv)
{
    program::holdSignals();
    const program::Arguments arguments(Usage, std::span(argv, static_cast<std::size_t>(argc)), Name);
    const std::string path = settingsPath(arguments);
    const std::optional<gateway::GatewaySettings> settings = readSettings(path);
    if (!settings) {
        return program::BadUsage;
    }
    if (arguments.flag("--check-settings")) {
        return program::Success;
    }
    std::string reason;
    const std::unique_ptr<gateway::IGateway> host = gateway::makeGateway(
        *settings, makePorts(*settings), [path] { return readSettings(path); }, reason);
    if (!host) {
        std::fputs((reason + "\n").c_str(), stderr);
        return program::Failed;
    }
    program::admitSignals();
    host->run();
    return program::Success;
}
