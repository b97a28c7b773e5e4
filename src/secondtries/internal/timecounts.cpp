#include "secondtries/timecounts.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::secondtries {

namespace {

constexpr double BucketsPerDoubling = 4;
/// Number of requests that must have waited longer for their times to tell how long another one has to wait.
constexpr std::uint64_t MinLonger = 3;

using Bounds = std::array<Duration, TimeCounts::BucketCount>;

const Bounds &bounds()
{
    static const Bounds All = [] {
        Bounds bounds;
        for (std::size_t i = 0; i < bounds.size(); ++i) {
            const std::chrono::duration<double, std::milli> bound(std::exp2(static_cast<double>(i) / BucketsPerDoubling));
            bounds.at(i) = std::chrono::duration_cast<Duration>(bound);
        }
        return bounds;
    }();
    return All;
}

}

std::size_t TimeCounts::bucketOf(Duration time)
{
    const auto found = std::ranges::lower_bound(bounds(), time);
    return std::min(static_cast<std::size_t>(found - bounds().begin()), BucketCount - 1);
}

Duration TimeCounts::upperBound(std::size_t index)
{
    return bounds().at(index);
}

TimeCounts::Bucket &TimeCounts::operator[](std::size_t index)
{
    return m_buckets.at(index);
}

const TimeCounts::Bucket &TimeCounts::operator[](std::size_t index) const
{
    return m_buckets.at(index);
}

void TimeCounts::add(const TimeCounts &other)
{
    for (std::size_t i = 0; i < BucketCount; ++i) {
        m_buckets[i].answered += other.m_buckets[i].answered;
        m_buckets[i].left += other.m_buckets[i].left;
    }
}

std::uint64_t TimeCounts::total() const
{
    std::uint64_t sum = 0;
    for (const Bucket &bucket : m_buckets) {
        sum += bucket.answered + bucket.left;
    }
    return sum;
}

std::optional<Duration> TimeCounts::quantile(double part) const
{
    const std::uint64_t all = total();
    if (all == 0) {
        return std::nullopt;
    }
    const double wanted = part * static_cast<double>(all);
    std::uint64_t counted = 0;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        counted += m_buckets[i].answered + m_buckets[i].left;
        if (static_cast<double>(counted) >= wanted) {
            return upperBound(i);
        }
    }
    return upperBound(BucketCount - 1);
}

Duration TimeCounts::meanRest(Duration waited) const
{
    std::uint64_t longer = 0;
    std::uint64_t answered = 0;
    double rest = 0;
    for (std::size_t i = bucketOf(waited) + 1; i < BucketCount; ++i) {
        const std::uint64_t count = m_buckets[i].answered + m_buckets[i].left;
        const Duration middle = (upperBound(i - 1) + upperBound(i)) / 2;
        rest += static_cast<double>(count) * static_cast<double>((middle - waited).count());
        longer += count;
        answered += m_buckets[i].answered;
    }
    if (longer < MinLonger) {
        return waited;
    }
    return Duration(static_cast<std::int64_t>(rest / static_cast<double>(std::max<std::uint64_t>(answered, 1))));
}

}
