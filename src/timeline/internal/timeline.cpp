#include "timeline/itimeline.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <mutex>

namespace rosemaryshift::timeline {

namespace {

/// Longest time that an observed stamp may be ahead of the wall clock.
constexpr std::int64_t MaxAheadMs = 24LL * 3600 * 1000;

class HybridClock : public IHybridClock
{
public:
    explicit HybridClock(WallClock wallClock)
        : m_wallClock(std::move(wallClock))
    {
    }

    Stamp now() override
    {
        const std::lock_guard lock(m_mutex);
        advance({m_wallClock(), 0});
        return m_last;
    }

    void observe(Stamp stamp) override
    {
        const std::lock_guard lock(m_mutex);
        if (stamp.wallMs - m_wallClock() <= MaxAheadMs) {
            m_last = std::max(m_last, stamp);
        }
    }

private:
    void advance(Stamp wall)
    {
        if (wall > m_last) {
            m_last = wall;
        } else {
            ++m_last.counter;
        }
    }

    std::mutex m_mutex;
    const WallClock m_wallClock;
    Stamp m_last;
};

class Timeline : public ITimeline
{
public:
    Timeline(std::shared_ptr<IHybridClock> clock, std::string host, std::string incarnation, std::size_t capacity)
        : m_clock(std::move(clock))
        , m_host(std::move(host))
        , m_incarnation(std::move(incarnation))
        , m_capacity(capacity)
    {
    }

    void record(EventKind kind, EventFields fields) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_events.size() >= m_capacity) {
            m_events.pop_front();
            ++m_dropped;
        }
        m_events.push_back({m_clock->now(), m_host, m_incarnation, m_sequence++, kind, std::move(fields)});
    }

    [[nodiscard]] std::vector<TimelineEvent> since(Stamp since) const override
    {
        const std::lock_guard lock(m_mutex);
        const auto first = std::ranges::lower_bound(m_events, since, {}, &TimelineEvent::stamp);
        return {first, m_events.end()};
    }

    [[nodiscard]] std::uint64_t dropped() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    mutable std::mutex m_mutex;
    const std::shared_ptr<IHybridClock> m_clock;
    const std::string m_host;
    const std::string m_incarnation;
    const std::size_t m_capacity;
    std::deque<TimelineEvent> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_dropped = 0;
};

}

std::int64_t systemWallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::shared_ptr<IHybridClock> makeHybridClock(WallClock wallClock)
{
    return std::make_shared<HybridClock>(std::move(wallClock));
}

std::shared_ptr<ITimeline> makeTimeline(std::shared_ptr<IHybridClock> clock, std::string host, std::string incarnation, std::size_t capacity)
{
    return std::make_shared<Timeline>(std::move(clock), std::move(host), std::move(incarnation), capacity);
}

}
