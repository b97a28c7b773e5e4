#pragma once

#include "replication/ireplicator.h"
#include "requests/requestregistry.h"
#include "timeline/itimeline.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Moves requests between hosts: takes over those of other hosts, and hands over those of this host before it is reclaimed.
/// Must be used on the control thread, except for movingCount().
class RequestMover
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    /// Access to the rest of the host.
    struct Callbacks {
        std::function<void(const RecordPtr &record)> submit;   ///< Submits a request to the decision core.
        std::function<void(const RecordPtr &record)> withdraw; ///< Withdraws a request from the decision core.
        std::function<bool()> busy;                            ///< True while a request has no final answer.
    };

    RequestMover(std::shared_ptr<requests::RequestRegistry> registry, std::shared_ptr<timeline::ITimeline> timeline, Callbacks callbacks);

    /// Sets the replicator. Precondition: called once, before any other method.
    void setReplicator(replication::IReplicator &replicator);
    /// Replicates a request to another host from now on.
    void accepted(const RecordPtr &record);
    /// Stops replicating a request that has its final answer.
    void ended(const requests::RequestRecord &record);
    /// Continues a request that another host accepted, from its replica.
    void takeOver(replication::ReplicaRecord replica);
    /// Lets requests finish within @p notice, then hands the remaining ones over to one successor, stops running them and informs
    /// their callers. When no host accepts them, they continue here.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds notice);
    /// Number of replicas of other hosts' requests held here.
    [[nodiscard]] std::size_t replicaCount() const;
    /// Number of requests that are being handed over. Thread-safe.
    [[nodiscard]] std::size_t movingCount() const;

private:
    /// Waits until no request is running, at most until @p until.
    boost::asio::awaitable<void> awaitCompletion(std::chrono::steady_clock::time_point until);
    /// Ends the requests that @p successor has taken over; resumes them here when there is none.
    void finishHandOver(const std::vector<RecordPtr> &records, const std::optional<std::string> &successor);

    const std::shared_ptr<requests::RequestRegistry> m_registry;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const Callbacks m_callbacks;
    replication::IReplicator *m_replicator = nullptr;
    std::atomic<std::size_t> m_movingCount = 0;
};

}
