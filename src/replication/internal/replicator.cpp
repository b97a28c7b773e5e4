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
/// Calls in which the replica host may say that it holds less than was thought.
constexpr int MaxRounds = 4;

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

void Replicator::attach(rpc::IPeerServer &server)
{
    server.add(KeepMethod, [this](const Json::Value &params) { return keep(params); });
    server.add(HandOverMethod, [this](const Json::Value &params) { return takeOver(params); });
    server.add(DropMethod, [this](const Json::Value &params) {
        m_kept.erase(stringMember(params, "id").value_or(""));
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
        copyWhatIsDue();
        expire();
        timer.expires_after(m_settings.tick);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    }
}

void Replicator::replicate(const RecordPtr &record)
{
    Own &own = m_own[record->id];
    own.record = record;
    if (!own.copying) {
        own.copying = true;
        net::co_spawn(m_control, copy(record->id), net::detached);
    }
}

void Replicator::copyWhatIsDue()
{
    const Clock::time_point now = Clock::now();
    for (auto &[id, own] : m_own) {
        const bool due = !own.replicaHost || own.record->transcript.size() >= own.copied + m_settings.chunksPerCopy;
        if (own.copying || !due || now < own.retryAt) {
            continue;
        }
        own.copying = true;
        net::co_spawn(m_control, copy(id), net::detached);
    }
}

bool Replicator::chooseReplicaHost(Own &own)
{
    for (const Peer &peer : rankReplicaHosts(own.record->id, m_membership.peers(), m_membership.self().zone)) {
        if (!own.failed.contains(peer.name)) {
            own.replicaHost = peer;
            own.copied = 0;
            return true;
        }
    }
    if (own.retryAt == Clock::time_point()) {
        m_timeline->record(EventKind::ReplicaUnreachable, {.request = own.record->id, .workspace = own.record->spec.workspace});
    }
    own.failed.clear();
    own.retryAt = Clock::now() + m_settings.retryDelay;
    return false;
}

net::awaitable<void> Replicator::copy(std::string id)
{
    for (int round = 0; round < MaxRounds; ++round) {
        const std::map<std::string, Own>::iterator before = m_own.find(id);
        if (before == m_own.end() || (!before->second.replicaHost && !chooseReplicaHost(before->second))) {
            break;
        }
        const Peer peer = *before->second.replicaHost;
        const ReplicaRecord record = kept(*before->second.record);
        Json::Value params = toJson(record, before->second.copied, Clock::now());
        rpc::RpcFailure failure;
        const std::optional<Json::Value> result = co_await m_client->call(peer.peerEndpoint, KeepMethod, std::move(params), m_settings.callTimeout, failure);
        const std::map<std::string, Own>::iterator after = m_own.find(id);
        if (after == m_own.end()) {
            net::co_spawn(m_control, drop(peer, id), net::detached);
            co_return;
        }
        Own &own = after->second;
        if (!result) {
            own.failed.insert(peer.name);
            own.replicaHost.reset();
            continue;
        }
        own.copied = unsignedMember(*result, "have").value_or(0);
        if (own.copied == record.chunks.size()) {
            break;
        }
    }
    const std::map<std::string, Own>::iterator found = m_own.find(id);
    if (found != m_own.end()) {
        found->second.copying = false;
    }
}

void Replicator::stopReplicating(const std::string &id)
{
    const std::map<std::string, Own>::iterator found = m_own.find(id);
    if (found == m_own.end()) {
        return;
    }
    if (found->second.replicaHost) {
        net::co_spawn(m_control, drop(*found->second.replicaHost, id), net::detached);
    }
    m_own.erase(found);
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
    for (const auto &[id, own] : m_own) {
        records.push_back(own.record);
    }
    return records;
}

std::size_t Replicator::replicaCount() const
{
    return m_kept.size();
}

bool Replicator::holdsReplica(const std::string &id) const
{
    return m_kept.contains(id);
}

ReplicaRecord Replicator::kept(const requests::RequestRecord &record) const
{
    return {record.id, m_hostId, record.spec, record.arrivedAt + record.spec.deadline, record.transcript.view(0).chunks};
}

std::optional<Json::Value> Replicator::keep(const Json::Value &params)
{
    std::optional<ReplicaRecord> record = recordFromJson(params, Clock::now());
    const std::size_t from = unsignedMember(params, "from").value_or(0);
    if (!record) {
        return std::nullopt;
    }
    const std::map<std::string, ReplicaRecord>::iterator known = m_kept.find(record->id);
    Json::Value result;
    if (known == m_kept.end() && from == 0 && m_kept.size() < m_settings.maxKept) {
        result["have"] = Json::UInt64(record->chunks.size());
        m_kept.emplace(record->id, std::move(*record));
        return result;
    }
    if (known == m_kept.end()) {
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
    std::erase_if(m_own, [now](const auto &entry) { return entry.second.record->arrivedAt + entry.second.record->spec.deadline < now; });
    std::erase_if(m_kept, [now](const auto &entry) { return entry.second.deadline < now; });
}

void Replicator::peerAppeared()
{
    for (auto &[id, own] : m_own) {
        own.retryAt = {};
    }
}

void Replicator::peerLost(const Peer &peer)
{
    for (auto &[id, own] : m_own) {
        if (own.replicaHost && own.replicaHost->name == peer.name) {
            own.replicaHost.reset();
        }
    }
    const std::string owner = peer.name + "." + peer.incarnation;
    std::vector<ReplicaRecord> taken;
    for (auto &[id, record] : m_kept) {
        if (record.owner == owner) {
            taken.push_back(std::move(record));
        }
    }
    for (ReplicaRecord &record : taken) {
        m_kept.erase(record.id);
        m_adopt(std::move(record));
    }
}

net::awaitable<std::optional<std::string>> Replicator::handOver(std::vector<RecordPtr> records)
{
    Json::Value params;
    params["records"] = Json::Value(Json::arrayValue);
    for (const RecordPtr &record : records) {
        params["records"].append(toJson(kept(*record), 0, Clock::now()));
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
        m_kept.erase(record.id);
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
    replicator->attach(server);
    return replicator;
}

}
