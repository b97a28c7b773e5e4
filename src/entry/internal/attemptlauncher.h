#pragma once

#include "requests/requestregistry.h"
#include "upstreams/iupstreamcall.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>

namespace rosemaryshift::entry {

/// Receives progress and results of attempts. Called on traffic threads.
class IAttemptObserver
{
public:
    virtual ~IAttemptObserver() = default;

    virtual void attemptProgressed(AttemptId attempt, std::uint32_t tokens) = 0;
    virtual void attemptEnded(AttemptId attempt, upstreams::AttemptResult result) = 0;
};

/// Runs attempts on the traffic threads. Its methods must be called on the control thread.
class AttemptLauncher
{
public:
    AttemptLauncher(boost::asio::io_context &traffic, IAttemptObserver &observer);

    /// Starts an attempt of @p record; the observer receives its progress and its result.
    void launch(const std::shared_ptr<requests::RequestRecord> &record, const upstreams::AttemptSpec &spec);
    /// Cancels a running attempt; it still ends with attemptEnded(). Unknown attempts are ignored.
    void cancel(AttemptId attempt);
    /// Releases an attempt that has ended.
    void forget(AttemptId attempt);

private:
    boost::asio::io_context &m_traffic;
    IAttemptObserver &m_observer;
    std::map<AttemptId, std::shared_ptr<upstreams::IUpstreamCall>> m_running;
};

}
