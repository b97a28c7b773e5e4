#include "quarantine/internal/answerhistory.h"

#include <algorithm>

namespace rosemaryshift::quarantine {

namespace {

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

}

AnswerHistory::Bucket *AnswerHistory::bucketOf(TimePoint time)
{
    const std::int64_t second = secondOf(time);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(second) % Seconds];
    if (bucket.second < second) {
        bucket = {second, 0, 0};
    }
    return bucket.second == second ? &bucket : nullptr;
}

void AnswerHistory::note(bool broken, TimePoint now)
{
    if (Bucket *const bucket = bucketOf(now)) {
        ++(broken ? bucket->broken : bucket->complete);
    }
}

void AnswerHistory::add(std::uint64_t broken, std::uint64_t complete, TimePoint at)
{
    if (Bucket *const bucket = bucketOf(at)) {
        bucket->broken += static_cast<std::uint32_t>(broken);
        bucket->complete += static_cast<std::uint32_t>(complete);
    }
}

std::pair<std::uint64_t, std::uint64_t> AnswerHistory::counts(TimePoint since, TimePoint now) const
{
    const std::int64_t last = secondOf(now);
    const std::int64_t first = std::max(secondOf(since), last - static_cast<std::int64_t>(Seconds) + 1);
    std::uint64_t complete = 0;
    std::uint64_t broken = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.second >= first && bucket.second <= last) {
            complete += bucket.complete;
            broken += bucket.broken;
        }
    }
    return {broken, complete};
}

double AnswerHistory::brokenShare(TimePoint since, TimePoint now) const
{
    const auto [broken, complete] = counts(since, now);
    return (static_cast<double>(broken) + 1) / (static_cast<double>(complete + broken) + 2);
}

}
