#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::platform {

/// Why a call to the platform failed.
enum class PlatformError : std::uint8_t {
    Unreachable, ///< The call took no effect.
    AnswerLost,  ///< The call may have taken effect.
    Malformed,   ///< The answer could not be read.
};

/// A failed call to the platform; @c detail describes the failure.
struct PlatformFailure {
    PlatformError error = PlatformError::Unreachable;
    std::string detail;
};

/// One record of the platform's log.
struct LogRecord {
    std::uint64_t offset = 0;
    std::string data;
};

/// Records of the platform's log, as one read returns them.
struct LogPage {
    std::uint64_t oldest = 0; ///< Offset of the oldest record still kept.
    std::uint64_t next = 0;   ///< Offset to read from next.
    std::vector<LogRecord> records;
};

/// Role of a host in the platform's list.
enum class HostKind : std::uint8_t {
    Entry,
    Engine,
    Service,
};

/// One row of the platform's list of live and leaving hosts.
struct ListedHost {
    std::string name;
    HostKind kind = HostKind::Engine;
    http::Endpoint endpoint; ///< For an entry host, its listener for peers.
    std::string zone;
    std::string machineClass;
    double price = 0;                                  ///< Price per hour, in the platform's currency.
    std::uint32_t slots = 1;                           ///< Requests that it processes concurrently.
    std::vector<std::string> targets;                  ///< Names of the models of an engine, or of the services of a service host.
    bool checksFencing = false;                        ///< Whether it checks fencing tokens.
    bool reclaimable = false;                          ///< Whether the platform may take it away at short notice.
    std::optional<std::chrono::milliseconds> leavesIn; ///< Time until the reclaim; set once the platform announced it.
};

/// The platform's list of hosts at one version.
struct HostList {
    std::uint64_t version = 0;
    std::vector<ListedHost> hosts;
    std::size_t skipped = 0; ///< Number of malformed rows left out.
};

}
