#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::timeline {

/// One line of a gateway's structured log; the schema stands in docs/OPERATIONS.md.
struct LogLine {
    std::string host;
    std::string start; ///< Which start of the host's process.
    std::string event;
    std::int64_t wallMs = 0;   ///< Wall clock of the host, which may differ from others' and may jump.
    std::int64_t steadyMs = 0; ///< Clock of the process, which does not jump; means nothing in another process.
    double timeMs = 0;         ///< On one scale for all hosts, worked out by mergedLog().
    Json::Value fields;
};

/// What was read from the logs of several hosts.
struct GatewayLog {
    std::vector<LogLine> lines;      ///< In the order of events as far as it is known.
    std::vector<std::string> faults; ///< What could not be read, one sentence each.
};

/// Text of one log file.
struct LogFile {
    std::string name;
    std::string text;
};

/// Reads and merges log files in any order. Text before the first brace of a line, as a collector may add, is ignored. Lines that cannot be read
/// are counted as faults. Within a process lines stand by its steady clock, at the median of what its wall clock said, so that a jump of the
/// time of day moves nothing. Between hosts, clocks that differ are set by configurations that came into force on both, where there are any.
/// Thread-safe.
GatewayLog mergedLog(const std::vector<LogFile> &files);

/// Says in plain sentences what became of the request with this id, why, what the hosts that took part went through at the time, and what the
/// logs do not hold. Empty when no line names it. Thread-safe.
std::vector<std::string> explainFromLogs(const GatewayLog &log, std::string_view request);

}
