#pragma once

#include "base/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace rosemaryshift::entry {

/// Calls back on its context when a point of the decision core's time has come. Belongs to that context's thread.
class WakeTimer
{
public:
    WakeTimer(boost::asio::io_context &context, std::function<void()> callback);

    /// Calls back at @p time in place of any earlier arming; not at all without a time.
    void arm(std::optional<TimePoint> time);

private:
    boost::asio::steady_timer m_timer;
    const std::function<void()> m_callback;
};

}
