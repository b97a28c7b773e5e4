#pragma once

#include "decisions/idecisioncore.h"
#include "entry/internal/waketimer.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Event loop of the decision core: runs a tick after each event and when a timer of the core is due. Must be used on the
/// control thread, except for the methods marked thread-safe.
class DecisionLoop
{
public:
    using ActionHandler = std::function<void(const decisions::Action &action)>;

    DecisionLoop(boost::asio::io_context &context, std::unique_ptr<decisions::IDecisionCore> core, ActionHandler handler);

    /// Queues an event for the core and schedules a tick.
    void post(decisions::Event event);
    /// Schedules a tick on the control thread, unless one is scheduled already.
    void scheduleTick();
    /// What the core knows about requests that may crash upstreams, for the other hosts.
    [[nodiscard]] std::vector<quarantine::SuspectReport> suspectReports(TimePoint now) const;
    /// Counts a request that is about to be posted to the core, so that a stop waits for it. Thread-safe.
    void expectRequest();
    /// Number of requests without a final answer. Thread-safe.
    [[nodiscard]] std::size_t openRequests() const;

private:
    void tick();

    boost::asio::io_context &m_context;
    const std::unique_ptr<decisions::IDecisionCore> m_core;
    const ActionHandler m_handler;
    WakeTimer m_wakeTimer;
    bool m_tickScheduled = false;
    std::atomic<std::size_t> m_openRequests = 0;
};

}
