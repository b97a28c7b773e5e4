#pragma once

#include "decisions/idecisioncore.h"
#include "entry/internal/waketimer.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Runs the decision core: a tick as soon as there is an event and when a timer is due. Belongs to the control thread,
/// but for the methods marked thread-safe.
class DecisionLoop
{
public:
    using ActionHandler = std::function<void(const decisions::Action &action)>;

    DecisionLoop(boost::asio::io_context &context, std::unique_ptr<decisions::IDecisionCore> core, ActionHandler handler);

    /// Hands an event to the core.
    void post(decisions::Event event);
    /// Has a tick run soon.
    void scheduleTick();
    /// Counts a request that is on its way to the core, so that a stop waits for it. Thread-safe.
    void expectRequest();
    /// Requests that have no final answer yet. Thread-safe.
    [[nodiscard]] std::size_t openRequests() const;

private:
    void tick();

    boost::asio::io_context &m_context;
    const std::unique_ptr<decisions::IDecisionCore> m_core;
    const ActionHandler m_handler;
    WakeTimer m_wake;
    bool m_tickScheduled = false;
    std::atomic<std::size_t> m_openRequests = 0;
};

}
