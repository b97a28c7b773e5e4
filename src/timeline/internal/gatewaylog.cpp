#include "timeline/gatewaylog.h"

#include "base/json.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace rosemaryshift::timeline {

namespace {

/// Two hosts may bring the same configuration into force up to this many milliseconds apart, so a difference up to this does not show that
/// their clocks differ.
constexpr double ConfigurationSpreadMs = 2'000;

/// Name of a host and identifier of one start of its process, which together identify the process.
using ProcessStart = std::pair<std::string, std::string>;

std::optional<LogLine> parsedLine(std::string_view text)
{
    const std::size_t brace = text.find('{');
    if (brace == std::string_view::npos) {
        return std::nullopt;
    }
    std::string reason;
    std::optional<Json::Value> value = parseJson(text.substr(brace), reason);
    if (!value || !value->isObject()) {
        return std::nullopt;
    }
    const std::optional<std::string> host = stringMember(*value, "host");
    const std::optional<std::string> start = stringMember(*value, "start");
    const std::optional<std::string> event = stringMember(*value, "event");
    const std::optional<std::uint64_t> wall = unsignedMember(*value, "time_ms");
    const std::optional<std::uint64_t> steady = unsignedMember(*value, "steady_ms");
    if (!host || !start || !event || !wall || !steady) {
        return std::nullopt;
    }
    return LogLine{*host, *start, *event, static_cast<std::int64_t>(*wall), static_cast<std::int64_t>(*steady), 0, std::move(*value)};
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Sets the time of each line to its steady time plus the median difference between the wall and the steady clock of its process.
void placeBySteadyClocks(std::vector<LogLine> &lines)
{
    std::map<ProcessStart, std::vector<double>> differences;
    for (const LogLine &line : lines) {
        differences[{line.host, line.start}].push_back(static_cast<double>(line.wallMs - line.steadyMs));
    }
    std::map<ProcessStart, double> offsets;
    for (const auto &[start, values] : differences) {
        offsets[start] = median(values);
    }
    for (LogLine &line : lines) {
        line.timeMs = static_cast<double>(line.steadyMs) + offsets.at({line.host, line.start});
    }
}

/// Time at which each configuration version came into force, by host and version. The first version of each process is left out, since its
/// time depends on when the process started and does not show the difference between clocks.
std::map<std::string, std::map<std::int64_t, double>> versionTimes(const std::vector<LogLine> &lines)
{
    std::map<std::string, std::map<std::int64_t, double>> times;
    std::set<ProcessStart> startedProcesses;
    for (const LogLine &line : lines) {
        if (line.event == "configuration_in_force" && line.fields["version"].isInt64() && !startedProcesses.insert({line.host, line.start}).second) {
            times[line.host].emplace(line.fields["version"].asInt64(), line.timeMs);
        }
    }
    return times;
}

/// Shifts the lines of hosts whose clocks differ from the first host's, as estimated from the times at which configurations came into force.
void alignHosts(GatewayLog &log)
{
    const std::map<std::string, std::map<std::int64_t, double>> times = versionTimes(log.lines);
    if (times.empty()) {
        return;
    }
    const auto &[reference, referenceTimes] = *times.begin();
    std::map<std::string, double> hostOffsets;
    for (const auto &[host, versions] : times) {
        std::vector<double> differences;
        for (const auto &[version, time] : versions) {
            const auto found = referenceTimes.find(version);
            if (found != referenceTimes.end()) {
                differences.push_back(time - found->second);
            }
        }
        const double difference = differences.empty() ? 0 : median(differences);
        if (std::abs(difference) > ConfigurationSpreadMs) {
            hostOffsets[host] = difference;
            std::ostringstream text;
            text << "The clock of " << host << " is about " << static_cast<std::int64_t>(std::abs(difference)) << " ms "
                 << (difference > 0 ? "ahead of" : "behind") << " that of " << reference
                 << ", by the configurations that came into force on both; its lines were shifted by this difference.";
            log.faults.push_back(text.str());
        }
    }
    for (LogLine &line : log.lines) {
        const auto found = hostOffsets.find(line.host);
        line.timeMs -= found == hostOffsets.end() ? 0 : found->second;
    }
}

}

GatewayLog mergedLog(const std::vector<LogFile> &files)
{
    GatewayLog log;
    for (const LogFile &file : files) {
        std::istringstream text(file.text);
        std::size_t unreadable = 0;
        for (std::string line; std::getline(text, line);) {
            if (line.empty()) {
                continue;
            }
            if (std::optional<LogLine> parsed = parsedLine(line)) {
                log.lines.push_back(std::move(*parsed));
            } else {
                ++unreadable;
            }
        }
        if (unreadable > 0) {
            log.faults.push_back(std::to_string(unreadable) + " lines of " + file.name + " cannot be read.");
        }
    }
    placeBySteadyClocks(log.lines);
    alignHosts(log);
    std::stable_sort(log.lines.begin(), log.lines.end(), [](const LogLine &left, const LogLine &right) { return left.timeMs < right.timeMs; });
    return log;
}

}
