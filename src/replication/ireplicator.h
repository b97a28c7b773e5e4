#pragma once

#include "membership/imembership.h"
#include "replication/replicationtypes.h"
#include "requests/requestregistry.h"
#include "rpc/ipeerrpc.h"
#include "timeline/itimeline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace rosemaryshift::replication {

/// Copies each accepted request of this host, with its progress, to one other host; stores the replicas of other hosts'
/// requests, and passes them on to be run here when their owner is lost. Only idempotent requests are replicated: an owner
/// that seems lost may still run them behind a network partition. Used only on the control thread.
class IReplicator
{
public:
    /// A request of this host.
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    /// Called with each request that this host has to continue, since its owner is lost or has handed it over.
    using Adopt = std::function<void(ReplicaRecord record)>;

    virtual ~IReplicator() = default;

    /// Starts copying in the background. Precondition: called once.
    virtual void start() = 0;
    /// Starts to copy @p record and its progress. Precondition: the request is idempotent.
    virtual void replicate(const RecordPtr &record) = 0;
    /// Stops copying the request @p id and tells its replica host to drop the replica.
    virtual void stopReplicating(const std::string &id) = 0;
    /// The requests of this host that are being copied.
    [[nodiscard]] virtual std::vector<RecordPtr> replicatedRequests() const = 0;
    /// Hands all @p records over to one other host. Returns its name once it has accepted them; nothing when no host did.
    /// Precondition: nothing writes to the records' transcripts any more.
    virtual boost::asio::awaitable<std::optional<std::string>> handOver(std::vector<RecordPtr> records) = 0;
    /// Number of replicas that this host holds for other hosts.
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;
    /// True when this host holds a replica of another host's request @p id.
    [[nodiscard]] virtual bool holdsReplica(const std::string &id) const = 0;
};

/// Creates the replicator of the host @p hostId, "name.incarnation". Registers its methods with @p server and an observer
/// with @p membership, which must outlive it.
std::unique_ptr<IReplicator> makeReplicator(boost::asio::io_context &control,
                                            const ReplicationSettings &settings,
                                            std::string hostId,
                                            membership::IMembership &membership,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline,
                                            IReplicator::Adopt adopt);

}
