#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::platform {

enum class PlatformError : std::uint8_t {
    Unreachable, ///< Nothing took effect.
    AnswerLost,  ///< It may have taken effect.
    Malformed,   ///< The answer could not be read.
};

struct PlatformFailure {
    PlatformError error = PlatformError::Unreachable;
    std::string detail;
};

struct LogRecord {
    std::uint64_t offset = 0;
    std::string data;
};

struct LogPage {
    std::uint64_t oldest = 0; ///< Offset of the oldest record still kept.
    std::uint64_t next = 0;   ///< Offset to read from next.
    std::vector<LogRecord> records;
};

enum class HostKind : std::uint8_t {
    Entry,
    Engine,
    Service,
};

/// One row of the platform's list of live and leaving hosts.
struct ListedHost {
    std::string name;
    HostKind kind = HostKind::Engine;
    http::Endpoint endpoint; ///< Of an entry host: its listener for peers.
    std::string zone;
    std::string machineClass;
    double price = 0; ///< Per hour.
    std::uint32_t slots = 1;
    std::vector<std::string> targets; ///< Models of an engine, names of a service.
    bool checksFencing = false;
    bool reclaimable = false;
    std::optional<std::chrono::milliseconds> leavesIn; ///< Set once a reclaim was announced.
};

struct HostList {
    std::uint64_t version = 0;
    std::vector<ListedHost> hosts;
    std::size_t skipped = 0; ///< Rows that could not be read.
};

}
