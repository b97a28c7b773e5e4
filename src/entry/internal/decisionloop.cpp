#include "entry/internal/decisionloop.h"

#include "base/coretime.h"

#include <boost/asio/post.hpp>

namespace rosemaryshift::entry {

namespace net = boost::asio;

DecisionLoop::DecisionLoop(net::io_context &context, std::unique_ptr<decisions::IDecisionCore> core, ActionHandler handler)
    : m_context(context)
    , m_core(std::move(core))
    , m_handler(std::move(handler))
    , m_wakeTimer(context, [this] { scheduleTick(); })
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
    m_wakeTimer.arm(m_core->nextWake());
}

std::vector<quarantine::SuspectReport> DecisionLoop::suspectReports(TimePoint now) const
{
    return m_core->suspectReports(now);
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
