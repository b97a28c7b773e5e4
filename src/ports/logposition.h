#pragma once

#include <cstdint>
#include <optional>

namespace rosemaryshift::ports {

/// The era of the log: rises by one each time that the log goes on from an earlier copy of itself and loses what it has accepted since. Nothing when
/// the log does not state it.
using LogEra = std::optional<std::uint64_t>;

/// A place in a topic. The log gives offsets out again after it was restored from a copy, so that offsets of two eras cannot be compared.
struct LogPosition {
    std::uint64_t offset = 0;
    LogEra era = std::nullopt;

    bool operator==(const LogPosition &) const = default;
};

}
