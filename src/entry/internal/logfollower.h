#pragma once

#include "platform/iplatform.h"
#include "timeline/itimeline.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// What a follower tells of the log. Called on the control thread.
struct LogHandlers {
    std::function<void(const platform::LogRecord &record)> record;
    /// A page was handed on. @p caughtUp is true once every record that stood in the log at the start was.
    std::function<void(const platform::LogPage &page, bool caughtUp)> page;
    /// Records before @p oldest were dropped unread.
    std::function<void(std::uint64_t oldest)> gap;
};

/// Reads the platform's log from its oldest record on and hands each record on in its order. Belongs to the control thread.
class LogFollower
{
public:
    LogFollower(std::shared_ptr<platform::ILog> log, std::shared_ptr<timeline::ITimeline> timeline, LogHandlers handlers);

    /// Follows the log for ever.
    boost::asio::awaitable<void> run();
    /// Offset behind the last record handed on.
    [[nodiscard]] std::uint64_t position() const;
    /// Offset of the oldest record that the log still kept at the last read.
    [[nodiscard]] std::uint64_t oldest() const;
    /// True once every record that stood in the log at the start was handed on.
    [[nodiscard]] bool caughtUp() const;
    /// True while the log answers.
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
