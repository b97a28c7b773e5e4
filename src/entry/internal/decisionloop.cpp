#include "entry/internal/decisionloop.h"

#include "base/coretime.h"

#include <boost/asio/post.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;

DecisionLoop::DecisionLoop(net::io_context &context, std::unique_ptr<decisions::IDecisionCore> core, ActionHandler handler)
    : m_context(context)
    , m_core(std::move(core))
    , m_handler(std::move(handler))
    , m_wake(context)
{
}

void DecisionLoop::post(decisions::Event event)
{
    m_core->post(std::move(event));
    scheduleTick();
}

void DecisionLoop::scheduleTick()
{
    if (m_tickScheduled) {
        return;
    }
    m_tickScheduled = true;
    net::post(m_context, [this] { tick(); });
}

void DecisionLoop::tick()
{
    m_tickScheduled = false;
    for (const decisions::Action &action : m_core->tick(coreNow())) {
        m_handler(action);
    }
    m_openRequests = m_core->openRequests();
    armWake();
}

void DecisionLoop::armWake()
{
    const std::optional<TimePoint> wake = m_core->nextWake();
    if (!wake) {
        m_wake.cancel();
        return;
    }
    m_wake.expires_at(std::chrono::steady_clock::time_point(wake->time_since_epoch()));
    m_wake.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            scheduleTick();
        }
    });
}

void DecisionLoop::expectRequest()
{
    ++m_openRequests;
}

std::size_t DecisionLoop::openRequests() const
{
    return m_openRequests;
}

}
