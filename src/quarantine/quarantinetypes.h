#pragma once

#include "base/types.h"
#include "ports/messages.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::quarantine {

/// What a request may have in common with others that crash upstreams as well.
struct RequestTraits {
    std::string_view service;                 ///< Service whose upstreams run the request.
    std::uint64_t fingerprint = 0;            ///< The same for equal requests.
    std::span<const ports::PromptPart> parts; ///< Parts of the prompt that other requests may have, too.
};

/// What a suspect is.
enum class SuspectKind : std::uint8_t {
    PromptPart, ///< A part of prompts, named by its id.
    Request,    ///< All requests that are equal, named by their fingerprint.
};

/// Identifies a suspect on all hosts.
struct SuspectId {
    SuspectKind kind = SuspectKind::PromptPart;
    std::uint64_t number = 0; ///< Id of the prompt part, or the fingerprint.

    auto operator<=>(const SuspectId &) const = default;
};

/// Crash of an upstream while it ran a request of a suspect.
struct CrashReport {
    std::string instance;
    std::uint64_t ageMs = 0;                ///< Time since the crash.
    std::optional<std::uint64_t> presentMs; ///< Time for which the request had been in progress; nothing from hosts of an earlier version.

    bool operator==(const CrashReport &) const = default;
};

/// What one host knows about a suspect, as sent to the other hosts.
struct SuspectReport {
    SuspectId id;
    std::string service;              ///< Service whose upstreams crashed.
    std::vector<CrashReport> crashes; ///< Since the last complete answer to a request of the suspect.
    bool quarantined = false;
    std::optional<std::uint64_t> completedAgeMs; ///< Time since the last complete answer to a request of the suspect, when it was recent.

    bool operator==(const SuspectReport &) const = default;
};

/// Why a request is not sent to an upstream, and for how long.
struct Rejection {
    SuspectKind kind = SuspectKind::PromptPart; ///< Kind of the suspect in quarantine.
    Duration wait{0};

    bool operator==(const Rejection &) const = default;
};

/// Change in the quarantine of a suspect.
enum class SuspectChange : std::uint8_t {
    Quarantined,
    Trial,    ///< One request of the suspect is sent to an upstream, to find out whether it still causes crashes.
    Released, ///< A request of the suspect was answered completely.
    Expired,  ///< The crashes are too long ago.
    Restored, ///< An earlier process, or another host, has recorded that it is in quarantine.
};

/// Name of @p change in log lines. Thread-safe.
std::string_view name(SuspectChange change);

}
