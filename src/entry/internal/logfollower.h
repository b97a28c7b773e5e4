#pragma once

#include "platform/iplatform.h"
#include "timeline/itimeline.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Callbacks of LogFollower. Called on the control thread.
struct LogHandlers {
    /// Called for each record, in the order of the log.
    std::function<void(const platform::LogRecord &record)> record;
    /// Called after the records of a page. @p caughtUp is true once all records present at the start were delivered.
    std::function<void(const platform::LogPage &page, bool caughtUp)> page;
    /// Called when the log dropped records before offset @p oldest that this host had not read.
    std::function<void(std::uint64_t oldest)> gap;
};

/// Reads the platform's log from its oldest record and delivers the records in order. Must be used on the control thread.
class LogFollower
{
public:
    LogFollower(std::shared_ptr<platform::ILog> log, std::shared_ptr<timeline::ITimeline> timeline, LogHandlers handlers);

    /// Follows the log; never returns.
    boost::asio::awaitable<void> run();
    /// Offset after the last record delivered.
    [[nodiscard]] std::uint64_t position() const;
    /// Offset of the oldest record that the log retained at the last read.
    [[nodiscard]] std::uint64_t oldest() const;
    /// True once all records present at the start were delivered.
    [[nodiscard]] bool caughtUp() const;
    /// True when the last read succeeded, and before the first read.
    [[nodiscard]] bool reachable() const;

private:
    void deliver(const platform::LogPage &page);
    void setReachable(bool reachable, std::string_view detail);

    const std::shared_ptr<platform::ILog> m_log;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const LogHandlers m_handlers;
    std::uint64_t m_oldest = 0;
    std::uint64_t m_position = 0;
    bool m_caughtUp = false;
    bool m_reachable = true;
};

}
