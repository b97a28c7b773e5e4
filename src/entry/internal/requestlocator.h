#pragma once

#include "entry/internal/peerview.h"
#include "replication/ireplicator.h"
#include "requests/requestregistry.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace rosemaryshift::entry {

/// Where a request of another host was found.
struct Location {
    std::optional<membership::Peer> holder; ///< Acts on the request or has its answer.
    bool mayBeTakenOver = false;            ///< No host holds it, but one keeps a copy or could not be asked; it may turn up.
};

/// Finds the host that holds a request by asking its peers. Thread-safe.
class RequestLocator
{
public:
    RequestLocator(std::shared_ptr<PeerView> peers, std::shared_ptr<rpc::IPeerClient> client);

    /// Asks the host that accepted the request @p id and then the others. Resumes on the executor of the caller.
    boost::asio::awaitable<Location> locate(std::string id) const;

private:
    const std::shared_ptr<PeerView> m_peers;
    const std::shared_ptr<rpc::IPeerClient> m_client;
};

/// Adds the method by which peers ask this host. Precondition: @p replicator outlives @p server.
void addLocateMethod(rpc::IPeerServer &server, std::shared_ptr<requests::RequestRegistry> registry, const replication::IReplicator &replicator);

}
