#include "entry/internal/logfollower.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using timeline::EventKind;

namespace {

/// Longest time that the platform delays its answer while the log has no new record.
constexpr std::chrono::milliseconds ReadWait{2'000};
constexpr std::chrono::milliseconds RetryDelay{200};

}

LogFollower::LogFollower(std::shared_ptr<platform::ILog> log, std::shared_ptr<timeline::ITimeline> timeline, LogHandlers handlers)
    : m_log(std::move(log))
    , m_timeline(std::move(timeline))
    , m_handlers(std::move(handlers))
{
}

net::awaitable<void> LogFollower::run()
{
    net::steady_timer delay(co_await net::this_coro::executor);
    while (true) {
        platform::PlatformFailure failure;
        const std::chrono::milliseconds wait = m_caughtUp ? ReadWait : std::chrono::milliseconds(0);
        const std::optional<platform::LogPage> page = co_await m_log->read(m_position, wait, failure);
        if (page) {
            setReachable(true, {});
            deliver(*page);
            continue;
        }
        setReachable(false, failure.detail);
        delay.expires_after(RetryDelay);
        co_await delay.async_wait(net::as_tuple(net::use_awaitable));
    }
}

void LogFollower::deliver(const platform::LogPage &page)
{
    m_oldest = page.oldest;
    if (page.oldest > m_position) {
        m_handlers.gap(page.oldest);
    }
    for (const platform::LogRecord &record : page.records) {
        if (record.offset < m_position) {
            continue;
        }
        m_handlers.record(record);
        m_position = record.offset + 1;
    }
    m_position = std::max(m_position, page.next);
    m_caughtUp = m_caughtUp || page.records.empty();
    m_handlers.page(page, m_caughtUp);
}

void LogFollower::setReachable(bool reachable, std::string_view detail)
{
    if (reachable == m_reachable) {
        return;
    }
    m_reachable = reachable;
    m_timeline->record(reachable ? EventKind::PlatformBack : EventKind::PlatformLost, {.detail = "log " + std::string(detail)});
}

std::uint64_t LogFollower::position() const
{
    return m_position;
}

std::uint64_t LogFollower::oldest() const
{
    return m_oldest;
}

bool LogFollower::caughtUp() const
{
    return m_caughtUp;
}

bool LogFollower::reachable() const
{
    return m_reachable;
}

}
