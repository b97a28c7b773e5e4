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

/// Copies this host's accepted requests and their progress to one other host each, keeps those of other hosts, and hands
/// them to this host when their owner is lost. Only requests that may be run twice are kept: a lost owner may be alive behind
/// a cut. Belongs to the control thread.
class IReplicator
{
public:
    using RecordPtr = std::shared_ptr<requests::RequestRecord>;
    /// Goes on with a request of a host that is lost or has handed it over.
    using Adopt = std::function<void(ReplicaRecord record)>;

    virtual ~IReplicator() = default;

    /// Starts copying. Precondition: called once.
    virtual void start() = 0;
    /// Copies @p record from now on. Precondition: it is idempotent.
    virtual void replicate(const RecordPtr &record) = 0;
    /// Stops copying; the replica host drops its replica.
    virtual void stopReplicating(const std::string &id) = 0;
    /// The requests that this host copies.
    [[nodiscard]] virtual std::vector<RecordPtr> replicatedRequests() const = 0;
    /// Hands @p records over to one successor and gives its name once it has taken them; nothing when no host did.
    /// Precondition: nothing writes to their transcripts any more.
    virtual boost::asio::awaitable<std::optional<std::string>> handOver(std::vector<RecordPtr> records) = 0;
    /// Number of copies that this host holds for others.
    [[nodiscard]] virtual std::size_t replicaCount() const = 0;
    /// True when this host holds a replica of the request @p id for another host.
    [[nodiscard]] virtual bool holdsReplica(const std::string &id) const = 0;
};

/// Makes the replicator of the host @p hostId, "name.incarnation"; registers its methods at @p server and an observer at
/// @p membership, which must outlive it.
std::unique_ptr<IReplicator> makeReplicator(boost::asio::io_context &control,
                                            const ReplicationSettings &settings,
                                            std::string hostId,
                                            membership::IMembership &membership,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline,
                                            IReplicator::Adopt adopt);

}
