#pragma once

#include "base/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace rosemaryshift::entry {

/// Timer for time points of the core clock; calls back on its context. Must be used on the thread of that context.
class WakeTimer
{
public:
    WakeTimer(boost::asio::io_context &context, std::function<void()> callback);

    /// Sets the timer to @p time, which replaces any earlier time; without a time, cancels the timer.
    void arm(std::optional<TimePoint> time);

private:
    boost::asio::steady_timer m_timer;
    const std::function<void()> m_callback;
};

}
