#pragma once

#include "requests/requestregistry.h"
#include "upstreams/iupstreamcall.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace rosemaryshift::entry {

/// What the control thread is told about its attempts. Called on traffic threads.
class IAttemptObserver
{
public:
    virtual ~IAttemptObserver() = default;

    virtual void attemptProgressed(AttemptId attempt, std::uint32_t tokens) = 0;
    virtual void attemptEnded(AttemptId attempt, upstreams::AttemptResult result) = 0;
};

/// Runs attempts on the traffic threads. Its methods belong to the control thread.
class AttemptLauncher
{
public:
    AttemptLauncher(boost::asio::io_context &traffic, IAttemptObserver &observer);

    void launch(const std::shared_ptr<requests::RequestRecord> &record, const upstreams::AttemptSpec &spec);
    void cancel(AttemptId attempt);
    /// Lets go of an attempt that has ended.
    void forget(AttemptId attempt);

private:
    boost::asio::io_context &m_traffic;
    IAttemptObserver &m_observer;
    std::map<AttemptId, std::shared_ptr<upstreams::IUpstreamCall>> m_running;
};

}
