#include "replication/internal/replicator.h"

#include "base/json.h"
#include "replication/recordjson.h"
#include "replication/rendezvous.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rosemaryshift::replication {

namespace net = boost::asio;
using membership::Peer;
using timeline::EventKind;

namespace {

constexpr const char *KeepMethod = "keep";
constexpr const char *DropMethod = "drop";
constexpr const char *HandOverMethod = "hand_over";
/// Limit of calls for one copy. Further calls are needed when a host fails to store the replica or holds fewer chunks than assumed.
constexpr int MaxCallsPerCopy = 4;

Json::Value emptyResult()
{
    return Json::Value(Json::objectValue);
}

}

Replicator::Replicator(net::io_context &control,
                       const ReplicationSettings &settings,
                       std::string hostId,
                       membership::IMembership &membership,
                       std::shared_ptr<rpc::IPeerClient> client,
                       std::shared_ptr<timeline::ITimeline> timeline,
                       Adopt adopt)
    : m_control(control)
    , m_settings(settings)
    , m_hostId(std::move(hostId))
    , m_membership(membership)
    , m_client(std::move(client))
    , m_timeline(std::move(timeline))
    , m_adopt(std::move(adopt))
{
}

void Replicator::registerHandlers(rpc::IPeerServer &server)
{
    server.add(KeepMethod, [this](const Json::Value &params) { return storeReplica(params); });
    server.add(HandOverMethod, [this](const Json::Value &params) { return takeOver(params); });
    server.add(DropMethod, [this](const Json::Value &params) {
        m_replicas.erase(stringMember(params, "id").value_or(""));
        return std::optional<Json::Value>(emptyResult());
    });
    m_membership.addObserver([this](const Peer &peer, membership::PeerChange change) {
        if (change == membership::PeerChange::Lost) {
            peerLost(peer);
        } else if (change == membership::PeerChange::Appeared) {
            peerAppeared();
        }
    });
}

void Replicator::start()
{
    net::co_spawn(m_control, run(), net::detached);
}

net::awaitable<void> Replicator::run()
{
    net::steady_timer timer(m_control);
    while (true) {
        copyDueRequests();
        expire();
        timer.expires_after(m_settings.tick);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
}

void Replicator::replicate(const RecordPtr &record)
{
    ReplicatedRequest &request = m_requests[record->id];
    request.record = record;
    if (!request.copying) {
        request.copying = true;
        net::co_spawn(m_control, copy(record->id), net::detached);
    }
}

void Replicator::copyDueRequests()
{
    const Clock::time_point now = Clock::now();
    for (auto &[id, request] : m_requests) {
        const bool due = !request.replicaHost || request.record->transcript.size() >= request.copied + m_settings.chunksPerCopy;
        if (request.copying || !due || now < request.retryAt) {
            continue;
        }
        request.copying = true;
        net::co_spawn(m_control, copy(id), net::detached);
    }
}

bool Replicator::chooseReplicaHost(ReplicatedRequest &request)
{
    for (const Peer &peer : rankReplicaHosts(request.record->id, m_membership.peers(), m_membership.self().zone)) {
        if (!request.failed.contains(peer.name)) {
            request.replicaHost = peer;
            request.copied = 0;
            return true;
        }
    }
    if (request.retryAt == Clock::time_point()) {
        m_timeline->record(EventKind::ReplicaUnreachable, {.request = request.record->id, .workspace = request.record->spec.workspace});
    }
    request.failed.clear();
    request.retryAt = Clock::now() + m_settings.retryDelay;
    return false;
}

net::awaitable<void> Replicator::copy(std::string id)
{
    for (int calls = 0; calls < MaxCallsPerCopy; ++calls) {
        const std::map<std::string, ReplicatedRequest>::iterator before = m_requests.find(id);
        if (before == m_requests.end() || (!before->second.replicaHost && !chooseReplicaHost(before->second))) {
            break;
        }
        const Peer peer = *before->second.replicaHost;
        const ReplicaRecord record = replicaOf(*before->second.record);
        Json::Value params = toJson(record, before->second.copied, Clock::now());
        rpc::RpcFailure failure;
        const std::optional<Json::Value> result = co_await m_client->call(peer.peerEndpoint, KeepMethod, std::move(params), m_settings.callTimeout, failure);
        const std::map<std::string, ReplicatedRequest>::iterator after = m_requests.find(id);
        if (after == m_requests.end()) {
            net::co_spawn(m_control, drop(peer, id), net::detached);
            co_return;
        }
        ReplicatedRequest &request = after->second;
        if (!result) {
            request.failed.insert(peer.name);
            request.replicaHost.reset();
            continue;
        }
        request.copied = unsignedMember(*result, "have").value_or(0);
        if (request.copied == record.chunks.size()) {
            break;
        }
    }
    const std::map<std::string, ReplicatedRequest>::iterator found = m_requests.find(id);
    if (found != m_requests.end()) {
        found->second.copying = false;
    }
}

void Replicator::stopReplicating(const std::string &id)
{
    const std::map<std::string, ReplicatedRequest>::iterator found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    if (found->second.replicaHost) {
        net::co_spawn(m_control, drop(*found->second.replicaHost, id), net::detached);
    }
    m_requests.erase(found);
}

net::awaitable<void> Replicator::drop(Peer peer, std::string id)
{
    Json::Value params;
    params["id"] = id;
    rpc::RpcFailure failure;
    co_await m_client->call(peer.peerEndpoint, DropMethod, std::move(params), m_settings.callTimeout, failure);
}

std::vector<IReplicator::RecordPtr> Replicator::replicatedRequests() const
{
    std::vector<RecordPtr> records;
    for (const auto &[id, request] : m_requests) {
        records.push_back(request.record);
    }
    return records;
}

std::size_t Replicator::replicaCount() const
{
    return m_replicas.size();
}

bool Replicator::holdsReplica(const std::string &id) const
{
    return m_replicas.contains(id);
}

ReplicaRecord Replicator::replicaOf(const requests::RequestRecord &record) const
{
    return {record.id, m_hostId, record.spec, record.arrivedAt + record.spec.deadline, record.transcript.view(0).chunks};
}

std::optional<Json::Value> Replicator::storeReplica(const Json::Value &params)
{
    std::optional<ReplicaRecord> record = recordFromJson(params, Clock::now());
    const std::size_t from = unsignedMember(params, "from").value_or(0);
    if (!record) {
        return std::nullopt;
    }
    const std::map<std::string, ReplicaRecord>::iterator known = m_replicas.find(record->id);
    Json::Value result;
    if (known == m_replicas.end() && from == 0 && m_replicas.size() < m_settings.maxReplicas) {
        result["have"] = Json::UInt64(record->chunks.size());
        m_replicas.emplace(record->id, std::move(*record));
        return result;
    }
    if (known == m_replicas.end()) {
        result["have"] = 0;
        return from == 0 ? std::nullopt : std::optional(result);
    }
    std::vector<requests::ResponseChunk> &chunks = known->second.chunks;
    if (from <= chunks.size()) {
        chunks.resize(from);
        chunks.insert(chunks.end(), record->chunks.begin(), record->chunks.end());
    }
    result["have"] = Json::UInt64(chunks.size());
    return result;
}

void Replicator::expire()
{
    const Clock::time_point now = Clock::now();
    std::erase_if(m_requests, [now](const auto &entry) { return entry.second.record->arrivedAt + entry.second.record->spec.deadline < now; });
    std::erase_if(m_replicas, [now](const auto &entry) { return entry.second.deadline < now; });
}

void Replicator::peerAppeared()
{
    for (auto &[id, request] : m_requests) {
        request.retryAt = {};
    }
}

void Replicator::peerLost(const Peer &peer)
{
    for (auto &[id, request] : m_requests) {
        if (request.replicaHost && request.replicaHost->name == peer.name) {
            request.replicaHost.reset();
        }
    }
    const std::string owner = peer.name + "." + peer.incarnation;
    std::vector<ReplicaRecord> taken;
    for (auto &[id, record] : m_replicas) {
        if (record.owner == owner) {
            taken.push_back(std::move(record));
        }
    }
    for (ReplicaRecord &record : taken) {
        m_replicas.erase(record.id);
        m_adopt(std::move(record));
    }
}

net::awaitable<std::optional<std::string>> Replicator::handOver(std::vector<RecordPtr> records)
{
    Json::Value params;
    params["records"] = Json::Value(Json::arrayValue);
    for (const RecordPtr &record : records) {
        params["records"].append(toJson(replicaOf(*record), 0, Clock::now()));
    }
    for (const Peer &peer : rankReplicaHosts(m_hostId, m_membership.peers(), m_membership.self().zone)) {
        rpc::RpcFailure failure;
        Json::Value copy = params;
        const std::optional<Json::Value> result = co_await m_client->call(peer.peerEndpoint, HandOverMethod, std::move(copy), m_settings.callTimeout, failure);
        if (result) {
            co_return peer.name;
        }
    }
    co_return std::nullopt;
}

std::optional<Json::Value> Replicator::takeOver(const Json::Value &params)
{
    if (m_membership.self().leaving || !params["records"].isArray()) {
        return std::nullopt;
    }
    std::vector<ReplicaRecord> records;
    for (const Json::Value &value : params["records"]) {
        std::optional<ReplicaRecord> record = recordFromJson(value, Clock::now());
        if (!record) {
            return std::nullopt;
        }
        records.push_back(std::move(*record));
    }
    for (ReplicaRecord &record : records) {
        m_replicas.erase(record.id);
        m_adopt(std::move(record));
    }
    return emptyResult();
}

std::unique_ptr<IReplicator> makeReplicator(net::io_context &control,
                                            const ReplicationSettings &settings,
                                            std::string hostId,
                                            membership::IMembership &membership,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline,
                                            IReplicator::Adopt adopt)
{
    std::unique_ptr<Replicator> replicator
        = std::make_unique<Replicator>(control, settings, std::move(hostId), membership, std::move(client), std::move(timeline), std::move(adopt));
    replicator->registerHandlers(server);
    return replicator;
}

}
