#include "entry/internal/requestlocator.h"

#include "base/json.h"
#include "replication/rendezvous.h"

#include <algorithm>

namespace rosemaryshift::entry {

namespace net = boost::asio;
using membership::Peer;

namespace {

constexpr const char *LocateMethod = "locate";
constexpr std::chrono::milliseconds LocateTimeout{1'000};
/// Limits the RPC calls for one lookup in a large fleet.
constexpr std::size_t MaxPeersAsked = 16;

}

RequestLocator::RequestLocator(std::shared_ptr<PeerView> peers, std::shared_ptr<rpc::IPeerClient> client)
    : m_peers(std::move(peers))
    , m_client(std::move(client))
{
}

net::awaitable<Location> RequestLocator::locate(std::string id) const
{
    Location location;
    std::vector<Peer> candidates = m_peers->all();
    // rankReplicaHosts() passes over leaving peers, but these may still hold the request.
    for (Peer &peer : candidates) {
        peer.leaving = false;
    }
    candidates = replication::rankReplicaHosts(id, std::move(candidates), {});
    const std::optional<Peer> accepted = m_peers->findAcceptingHost(id);
    if (accepted) {
        candidates.insert(candidates.begin(), *accepted);
    }
    candidates.resize(std::min(candidates.size(), MaxPeersAsked));
    for (const Peer &peer : candidates) {
        Json::Value params;
        params["id"] = id;
        rpc::RpcFailure failure;
        const std::optional<Json::Value> result = co_await m_client->call(peer.peerEndpoint, LocateMethod, std::move(params), LocateTimeout, failure);
        if (result && boolMember(*result, "holds", false)) {
            location.holder = peer;
            co_return location;
        }
        location.mayBeTakenOver = location.mayBeTakenOver || !result || boolMember(*result, "keeps", false);
    }
    co_return location;
}

void addLocateMethod(rpc::IPeerServer &server, std::shared_ptr<requests::RequestRegistry> registry, const replication::IReplicator &replicator)
{
    server.add(LocateMethod, [registry = std::move(registry), &replicator](const Json::Value &params) -> std::optional<Json::Value> {
        const std::string id = stringMember(params, "id").value_or("");
        const std::shared_ptr<requests::RequestRecord> record = registry->find(id);
        Json::Value result;
        result["holds"] = record && record->transcript.state() != requests::TranscriptState::Moved;
        result["keeps"] = replicator.holdsReplica(id);
        return result;
    });
}

}
