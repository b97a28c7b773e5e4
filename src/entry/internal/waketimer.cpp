#include "entry/internal/waketimer.h"

#include <utility>

namespace rosemaryshift::entry {

WakeTimer::WakeTimer(boost::asio::io_context &context, std::function<void()> callback)
    : m_timer(context)
    , m_callback(std::move(callback))
{
}

void WakeTimer::arm(std::optional<TimePoint> time)
{
    if (!time) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(std::chrono::steady_clock::time_point(time->time_since_epoch()));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_callback();
        }
    });
}

}
