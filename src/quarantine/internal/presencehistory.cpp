#include "quarantine/internal/presencehistory.h"

#include "quarantine/internal/evidencelimits.h"

#include <algorithm>
#include <cmath>

namespace rosemaryshift::quarantine {

namespace {

/// Time for which presence is remembered.
constexpr std::chrono::seconds HistoryLength{64};

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

}

void PresenceHistory::note(std::string_view instance, TimePoint from, TimePoint until)
{
    from = std::max(from, until - Duration(HistoryLength));
    auto found = m_instances.find(instance);
    if (found == m_instances.end()) {
        found = m_instances.emplace(std::string(instance), Instance{from, from, {}, {}}).first;
    }
    Instance &known = found->second;
    if (from > known.until) {
        const bool crashed = known.crashedAt > known.until - Duration(CrashMergeTime);
        if (!crashed) {
            add(known, std::max(known.until, until - Duration(HistoryLength)), from, false);
        }
        known.from = from;
        add(known, from, until, true);
    } else {
        // The part in the middle was in progress beside an earlier request.
        add(known, from, std::min(known.from, until), true);
        add(known, known.until, until, true);
        known.from = std::min(known.from, from);
    }
    known.until = std::max(known.until, until);
}

void PresenceHistory::noteCrash(std::string_view instance, TimePoint at)
{
    const auto found = m_instances.find(instance);
    if (found != m_instances.end()) {
        found->second.crashedAt = std::max(found->second.crashedAt, at);
    }
}

void PresenceHistory::add(Instance &instance, TimePoint from, TimePoint until, bool present)
{
    while (from < until) {
        const std::int64_t second = secondOf(from);
        const TimePoint end = std::min(until, TimePoint(std::chrono::seconds(second + 1)));
        // An interval that began long before it ended reaches back behind the newest bucket.
        const auto at = std::ranges::lower_bound(instance.buckets, second, {}, &Bucket::second);
        const bool known = at != instance.buckets.end() && at->second == second;
        Bucket &bucket = known ? *at : *instance.buckets.insert(at, Bucket{second});
        bucket.running += end - from;
        bucket.present += present ? end - from : Duration(0);
        from = end;
    }
}

Duration PresenceHistory::busyTime(const Instance &instance, TimePoint since, std::size_t hosts)
{
    Duration running{0};
    Duration present{0};
    for (auto bucket = instance.buckets.rbegin(); bucket != instance.buckets.rend() && bucket->second >= secondOf(since); ++bucket) {
        running += bucket->running;
        present += bucket->present;
    }
    if (running == Duration(0)) {
        return running;
    }
    const double idle = 1 - static_cast<double>(present.count()) / static_cast<double>(running.count());
    return std::chrono::duration_cast<Duration>(running * (1 - std::pow(idle, static_cast<double>(hosts))));
}

Duration PresenceHistory::busyAt(std::string_view instance, TimePoint since, std::size_t hosts) const
{
    const auto found = m_instances.find(instance);
    return found == m_instances.end() ? Duration(0) : busyTime(found->second, since, hosts);
}

Duration PresenceHistory::busy(TimePoint since, std::size_t hosts) const
{
    Duration sum{0};
    for (const auto &[name, instance] : m_instances) {
        sum += busyTime(instance, since, hosts);
    }
    return sum;
}

void PresenceHistory::expire(TimePoint now)
{
    const std::int64_t oldest = secondOf(now - HistoryLength);
    for (auto entry = m_instances.begin(); entry != m_instances.end();) {
        std::deque<Bucket> &buckets = entry->second.buckets;
        while (!buckets.empty() && buckets.front().second < oldest) {
            buckets.pop_front();
        }
        entry = buckets.empty() ? m_instances.erase(entry) : std::next(entry);
    }
}

}
