#pragma once

#include "replication/ireplicator.h"
#include "requests/requestregistry.h"
#include "timeline/itimeline.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace rosemaryshift::entry {

/// Takes requests of other hosts over and hands the own ones over before this host is reclaimed. Belongs to the control
/// thread, but for moving().
class RequestMover
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    struct Callbacks {
        std::function<void(const RecordPtr &record)> decide;   ///< Lets the decisions run a request.
        std::function<void(const RecordPtr &record)> withdraw; ///< Takes a request back from the decisions.
        std::function<bool()> busy;                            ///< True while a request has no final answer.
    };

    RequestMover(std::shared_ptr<requests::RequestRegistry> registry, std::shared_ptr<timeline::ITimeline> timeline, Callbacks callbacks);

    /// Precondition: called once, before any other method.
    void setReplicator(replication::IReplicator &replicator);
    /// Has a request copied to another host from now on.
    void accepted(const RecordPtr &record);
    /// The request has its final answer.
    void ended(const requests::RequestRecord &record);
    /// Goes on with a request that another host has accepted.
    void takeOver(replication::ReplicaRecord replica);
    /// Lets requests finish while @p notice allows, then hands the others over to one successor, stops acting on them and tells
    /// their callers. What no host takes goes on here.
    boost::asio::awaitable<void> drain(std::chrono::milliseconds notice);
    /// Copies of other hosts' requests that are replica here.
    [[nodiscard]] std::size_t replicaRecords() const;
    /// Requests that are being toHandOver over. Thread-safe.
    [[nodiscard]] std::size_t moving() const;

private:
    boost::asio::awaitable<void> awaitCompletion(std::chrono::steady_clock::time_point until);
    void finishHandOver(const std::vector<RecordPtr> &records, const std::optional<std::string> &successor);

    const std::shared_ptr<requests::RequestRegistry> m_registry;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const Callbacks m_callbacks;
    replication::IReplicator *m_replicator = nullptr;
    std::atomic<std::size_t> m_moving = 0;
};

}
