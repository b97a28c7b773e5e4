#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>
#include <utility>

namespace rosemaryshift::quarantine {

/// Counts of complete and broken answers in each of the last seconds. Not thread-safe.
class AnswerHistory
{
public:
    void note(bool broken, TimePoint now);
    /// Adds answers that another process counted until @p at.
    void add(std::uint64_t broken, std::uint64_t complete, TimePoint at);
    /// Number of broken and of complete answers since @p since.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> counts(TimePoint since, TimePoint now) const;
    /// Share of the answers since @p since that broke, between 0 and 1 exclusively; a half when there were none (Laplace's rule of succession).
    [[nodiscard]] double brokenShare(TimePoint since, TimePoint now) const;

private:
    static constexpr std::size_t Seconds = 64;

    struct Bucket {
        std::int64_t second = -1;
        std::uint32_t complete = 0;
        std::uint32_t broken = 0;
    };

    /// The bucket of the second of @p time; null when a later second has taken its place.
    Bucket *bucketOf(TimePoint time);

    std::array<Bucket, Seconds> m_buckets;
};

}
