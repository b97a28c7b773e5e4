#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>

namespace rosemaryshift::quarantine {

/// Counts of complete and broken answers in each of the last seconds. Not thread-safe.
class AnswerHistory
{
public:
    void note(bool broken, TimePoint now);
    /// Share of the answers since @p since that broke, between 0 and 1 exclusively; a half when there were none (Laplace's rule of succession).
    [[nodiscard]] double brokenShare(TimePoint since, TimePoint now) const;

private:
    static constexpr std::size_t Seconds = 64;

    struct Bucket {
        std::int64_t second = -1;
        std::uint32_t complete = 0;
        std::uint32_t broken = 0;
    };

    std::array<Bucket, Seconds> m_buckets;
};

}
