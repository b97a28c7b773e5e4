#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::quarantine {

/// Crash of an upstream during its answer to a request with a certain prompt part.
struct CrashReport {
    std::string instance;
    std::uint64_t ageMs = 0; ///< Time since the crash.

    bool operator==(const CrashReport &) const = default;
};

/// What one host knows about a prompt part that may crash upstreams, as sent to the other hosts.
struct SuspectReport {
    std::uint64_t part = 0;           ///< Id of the prompt part.
    std::vector<CrashReport> crashes; ///< Since the last complete answer to a request with the part.
    bool quarantined = false;
    std::optional<std::uint64_t> completedAgeMs; ///< Time since the last complete answer to a request with the part, when it was recent.

    bool operator==(const SuspectReport &) const = default;
};

/// Change in the quarantine of a prompt part.
enum class SuspectChange : std::uint8_t {
    Quarantined,
    Trial,    ///< One request with the part is sent to an upstream, to find out whether the part still causes crashes.
    Released, ///< A request with the part was answered completely.
    Expired,  ///< The crashes are too long ago.
};

/// Name of @p change in log lines. Thread-safe.
std::string_view name(SuspectChange change);

}
