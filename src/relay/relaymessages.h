#pragma once

#include "relay/changelog.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rosemaryshift::relay {

/// Asks another host what the platform's log holds.
struct Query {
    std::uint64_t number = 0; ///< Identifies the query; repeated in its answer.
    ports::LogPosition from;  ///< Position in the list of upstreams from which changes are asked for. No era: earlier software versions do not state it.

    bool operator==(const Query &) const = default;
};

/// What a host that reads the platform's log itself knows from it. Ages are counted from the beginning of the read that shows the fact, to the sending of the
/// answer.
struct Answer {
    std::uint64_t number = 0;                              ///< Of the query.
    std::uint64_t configuration = 0;                       ///< Version of the configuration in force.
    std::optional<std::chrono::milliseconds> confirmedAge; ///< Since that was known to be the newest configuration; nothing when it never was.
    std::optional<std::chrono::milliseconds> listAge;      ///< Since the list was read; nothing when the changes asked for cannot be told.
    Changes changes;
    ports::LogEra era = std::nullopt; ///< Latest era of the log that the host knows; not stated by earlier software versions.
};

/// Encodes a query as one datagram. Thread-safe.
std::string encoded(const Query &query);
/// Encodes an answer as one datagram. Thread-safe.
std::string encoded(const Answer &answer);
/// Decodes a query; nothing when @p datagram is malformed or an answer. Thread-safe.
std::optional<Query> decodedQuery(std::string_view datagram);
/// Decodes an answer; nothing when @p datagram is malformed or a query. Thread-safe.
std::optional<Answer> decodedAnswer(std::string_view datagram);

}
