#pragma once

#include "entry/internal/peerview.h"
#include "replication/ireplicator.h"
#include "requests/requestregistry.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// Result of the search for a request that this host does not hold.
struct Location {
    std::optional<membership::Peer> holder; ///< Host that runs the request or has its answer.
    bool mayBeTakenOver = false;            ///< No host holds it, but a peer has a replica or did not answer, so the request may be continued.
};

/// Finds the host that holds a request by querying the peers. Thread-safe.
class RequestLocator
{
public:
    RequestLocator(std::shared_ptr<PeerView> peers, std::shared_ptr<rpc::IPeerClient> client);

    /// Queries the host that accepted the request @p id first, then the others. Resumes on the executor of the caller.
    boost::asio::awaitable<Location> locate(std::string id) const;

private:
    const std::shared_ptr<PeerView> m_peers;
    const std::shared_ptr<rpc::IPeerClient> m_client;
};

/// Registers the RPC method by which peers look up requests of this host. Precondition: @p replicator outlives @p server.
void addLocateMethod(rpc::IPeerServer &server, std::shared_ptr<requests::RequestRegistry> registry, const replication::IReplicator &replicator);

}
