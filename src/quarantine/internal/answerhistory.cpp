#include "quarantine/internal/answerhistory.h"

#include <algorithm>

namespace rosemaryshift::quarantine {

namespace {

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

}

void AnswerHistory::note(bool broken, TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Bucket &bucket = m_buckets[static_cast<std::size_t>(second) % Seconds];
    if (bucket.second != second) {
        bucket = {second, 0, 0};
    }
    ++(broken ? bucket.broken : bucket.complete);
}

double AnswerHistory::brokenShare(TimePoint since, TimePoint now) const
{
    const std::int64_t last = secondOf(now);
    const std::int64_t first = std::max(secondOf(since), last - static_cast<std::int64_t>(Seconds) + 1);
    double complete = 0;
    double broken = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.second >= first && bucket.second <= last) {
            complete += bucket.complete;
            broken += bucket.broken;
        }
    }
    return (broken + 1) / (complete + broken + 2);
}

}
