#pragma once

#include "replication/ireplicator.h"

#include <map>
#include <set>

namespace rosemaryshift::replication {

/// See IReplicator. Records go by JSON-RPC: "keep" extends a copy and answers how many chunks it holds, "drop" ends it,
/// "hand_over" makes the callee the owner.
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

    /// Adds the methods and the observer. Precondition: called once.
    void attach(rpc::IPeerServer &server);

    void start() override;
    void replicate(const RecordPtr &record) override;
    void stopReplicating(const std::string &id) override;
    [[nodiscard]] std::vector<RecordPtr> replicatedRequests() const override;
    boost::asio::awaitable<std::optional<std::string>> handOver(std::vector<RecordPtr> records) override;
    [[nodiscard]] std::size_t replicaCount() const override;
    [[nodiscard]] bool holdsReplica(const std::string &id) const override;

private:
    using Clock = std::chrono::steady_clock;

    struct Own {
        RecordPtr record;
        std::optional<membership::Peer> replicaHost;
        std::set<std::string> failed; ///< Hosts that did not take the copy.
        std::size_t copied = 0;
        bool copying = false;
        Clock::time_point retryAt{};
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> copy(std::string id);
    boost::asio::awaitable<void> drop(membership::Peer peer, std::string id);
    void copyWhatIsDue();
    void expire();
    bool chooseReplicaHost(Own &own);
    void peerAppeared();
    void peerLost(const membership::Peer &peer);
    [[nodiscard]] ReplicaRecord kept(const requests::RequestRecord &record) const;
    std::optional<Json::Value> keep(const Json::Value &params);
    std::optional<Json::Value> takeOver(const Json::Value &params);

    boost::asio::io_context &m_control;
    const ReplicationSettings m_settings;
    const std::string m_hostId;
    membership::IMembership &m_membership;
    const std::shared_ptr<rpc::IPeerClient> m_client;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const Adopt m_adopt;
    std::map<std::string, Own> m_own;
    std::map<std::string, ReplicaRecord> m_kept;
};

}
