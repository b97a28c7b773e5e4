#pragma once

#include "replication/ireplicator.h"

#include <map>
#include <set>

namespace rosemaryshift::replication {

/// Implements IReplicator with three JSON-RPC methods between hosts: "keep" creates or extends a replica and returns how
/// many chunks it holds, "drop" deletes it, and "hand_over" makes the called host the owner of requests.
class Replicator : public IReplicator
{
public:
    Replicator(boost::asio::io_context &control,
               const ReplicationSettings &settings,
               std::string hostId,
               membership::IMembership &membership,
               std::shared_ptr<rpc::IPeerClient> client,
               std::shared_ptr<timeline::ITimeline> timeline,
               Adopt adopt);

    /// Registers the RPC methods with @p server and the observer with the membership. Precondition: called once.
    void registerHandlers(rpc::IPeerServer &server);

    void start() override;
    void replicate(const RecordPtr &record) override;
    void stopReplicating(const std::string &id) override;
    [[nodiscard]] std::vector<RecordPtr> replicatedRequests() const override;
    boost::asio::awaitable<std::optional<std::string>> handOver(std::vector<RecordPtr> records) override;
    [[nodiscard]] std::size_t replicaCount() const override;
    [[nodiscard]] bool holdsReplica(const std::string &id) const override;

private:
    using Clock = std::chrono::steady_clock;

    /// A request of this host and the state of its replica.
    struct ReplicatedRequest {
        RecordPtr record;
        std::optional<membership::Peer> replicaHost;
        std::set<std::string> failed; ///< Names of the hosts that failed to store the replica.
        std::size_t copied = 0;       ///< Number of chunks of the answer that the replica holds.
        bool copying = false;         ///< A copy is in progress.
        Clock::time_point retryAt{};  ///< Earliest time of the next attempt after no host stored the replica.
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> copy(std::string id);
    boost::asio::awaitable<void> drop(membership::Peer peer, std::string id);
    void copyDueRequests();
    /// Drops the requests and replicas whose deadline has passed.
    void expire();
    /// Chooses the first host in the order of rankReplicaHosts() that has not failed. When there is none, returns false, forgets
    /// the failures and delays the next attempt.
    bool chooseReplicaHost(ReplicatedRequest &request);
    void peerAppeared();
    void peerLost(const membership::Peer &peer);
    [[nodiscard]] ReplicaRecord replicaOf(const requests::RequestRecord &record) const;
    /// Handles "keep" from another host.
    std::optional<Json::Value> storeReplica(const Json::Value &params);
    /// Handles "hand_over" from another host.
    std::optional<Json::Value> takeOver(const Json::Value &params);

    boost::asio::io_context &m_control;
    const ReplicationSettings m_settings;
    const std::string m_hostId;
    membership::IMembership &m_membership;
    const std::shared_ptr<rpc::IPeerClient> m_client;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const Adopt m_adopt;
    std::map<std::string, ReplicatedRequest> m_requests; ///< Requests of this host by id.
    std::map<std::string, ReplicaRecord> m_replicas;     ///< Replicas of other hosts' requests by id.
};

}
