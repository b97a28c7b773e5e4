#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::timeline {

/// One line of a gateway's structured log; docs/OPERATIONS.md has the schema.
struct LogLine {
    std::string host;
    std::string start;         ///< Identifies one start of the host's process.
    std::string event;         ///< Name of the event.
    std::int64_t wallMs = 0;   ///< Milliseconds since 1970 by the host's wall clock, which may be wrong and may jump.
    std::int64_t steadyMs = 0; ///< Milliseconds by the steady clock of the process, which does not jump but cannot be compared between processes.
    double timeMs = 0;         ///< Milliseconds on a time scale common to all hosts, computed by mergedLog().
    Json::Value fields;        ///< The whole JSON object of the line.
};

/// Merged lines of the logs of several hosts.
struct GatewayLog {
    std::vector<LogLine> lines;      ///< In order of timeMs.
    std::vector<std::string> faults; ///< One sentence for each file with unreadable lines and each host whose clock was corrected.
};

/// Name and content of a log file.
struct LogFile {
    std::string name;
    std::string text;
};

/// Parses and merges log files, given in any order. Text before the first brace of a line, such as a log collector's prefix, is ignored.
/// Unreadable lines are counted in the faults. The lines of one process are placed by its steady clock plus the median difference between
/// its wall clock and its steady clock, so that a jump of the wall clock does not reorder them. Differences between the clocks of hosts are
/// estimated from configurations that came into force on both, if there are any, and corrected. Thread-safe.
GatewayLog mergedLog(const std::vector<LogFile> &files);

/// Describes in sentences the course of the request with the id @p request, the events on its hosts around that time, and what is missing
/// from the logs. Empty when no line names the request. Thread-safe.
std::vector<std::string> explainFromLogs(const GatewayLog &log, std::string_view request);

}
