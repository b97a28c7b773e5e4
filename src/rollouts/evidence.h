#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace rosemaryshift::rollouts {

/// Number of classes into which times until an answer begins are sorted. Each begins at 1.4 times the time at which the one before begins.
constexpr std::size_t TimeClasses = 24;

/// The class of @p time. Thread-safe.
std::size_t timeClass(Duration time);
/// A number for a route's name that is equal on all hosts. Thread-safe.
std::uint32_t routeNumber(std::string_view route);
/// A bit for an upstream that is equal on all hosts. Thread-safe.
std::uint32_t instanceBit(std::string_view instance);

/// Answers of one version on one route.
struct AnswerCounts {
    std::uint32_t failures = 0;
    std::array<std::uint32_t, TimeClasses> times{}; ///< Answers by the time until they began.

    bool operator==(const AnswerCounts &) const = default;

    /// Adds the counts of @p other.
    void add(const AnswerCounts &other);
    /// Number of answers that began.
    [[nodiscard]] std::uint64_t timed() const;
    /// Number of answers that began in class @p first or a later one.
    [[nodiscard]] std::uint64_t atLeast(std::size_t first) const;
};

/// Answers on one route.
struct RouteCounts {
    AnswerCounts before; ///< Of the versions that served before.
    AnswerCounts rolledOut;

    bool operator==(const RouteCounts &) const = default;
};

/// What one host, or all hosts together, have seen of a roll-out since the order.
struct Evidence {
    std::uint64_t requests = 0;        ///< Requests sent to the service.
    std::uint64_t exposed = 0;         ///< Of those, to the version that is rolled out.
    std::uint32_t failedUpstreams = 0; ///< Bits of the upstreams of that version whose answers failed.
    std::map<std::uint32_t, RouteCounts> routes;

    bool operator==(const Evidence &) const = default;

    /// Adds what another host has seen.
    void add(const Evidence &other);
    /// Number of answers of the version that is rolled out.
    [[nodiscard]] std::uint64_t answers() const;
    /// Number of failures of that version.
    [[nodiscard]] std::uint64_t failures() const;
};

/// What the evidence says about a version.
enum class Verdict : std::uint8_t {
    Sound,
    Doubtful, ///< Worse than the versions before, by a difference that may be chance.
    Bad,
};

/// Compares the version that is rolled out with the versions before, by failures and by times, on each route and on all of them. A single upstream
/// that fails does not make a version bad unless there are many of them, or the version has no other. @p upstreams: number of upstreams of the version.
/// Thread-safe.
Verdict verdict(const Evidence &evidence, std::size_t upstreams);

/// The first class of times in which answers on @p route are slow against those of the versions before; TimeClasses when too few are known. Thread-safe.
std::size_t slowClass(const AnswerCounts &before);

}
