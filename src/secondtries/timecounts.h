#pragma once

#include "base/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace rosemaryshift::secondtries {

/// Counts of the times that requests waited for the beginning of their answer, by log-spaced buckets, four for each doubling from 1 ms on. Not thread-safe.
class TimeCounts
{
public:
    static constexpr std::size_t BucketCount = 64;

    struct Bucket {
        std::uint32_t answered = 0; ///< The answer began after this time.
        std::uint32_t left = 0;     ///< The upstream was left after this time, when no answer had begun.

        bool operator==(const Bucket &) const = default;
    };

    /// The bucket that counts @p time.
    [[nodiscard]] static std::size_t bucketOf(Duration time);
    /// The longest time that the bucket with @p index counts; the last one counts longer times as well. Precondition: the index is below BucketCount.
    [[nodiscard]] static Duration upperBound(std::size_t index);

    /// The bucket with @p index. Precondition: the index is below BucketCount.
    [[nodiscard]] Bucket &operator[](std::size_t index);
    [[nodiscard]] const Bucket &operator[](std::size_t index) const;
    void add(const TimeCounts &other);

    /// Number of requests counted.
    [[nodiscard]] std::uint64_t total() const;
    /// The time within which @p part (0 to 1) of the requests had an answer, rounded up to the bound of a bucket; nothing when none is counted.
    [[nodiscard]] std::optional<Duration> quantile(double part) const;
    /// How much longer a request has to wait on average that has waited for @p waited. An upstream that was left counts as one that had not answered by
    /// then. When hardly any request waited longer, the result is @p waited.
    [[nodiscard]] Duration meanRest(Duration waited) const;

private:
    std::array<Bucket, BucketCount> m_buckets{};
};

}
