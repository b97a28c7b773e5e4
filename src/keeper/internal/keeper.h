#pragma once

#include "keeper/ikeeper.h"

#include <map>
#include <set>

namespace rosemaryshift::keeper {

/// See IKeeper. Records go by JSON-RPC: "keep" extends a copy and answers how many pieces it holds, "drop" ends it,
/// "hand_over" makes the callee the owner.
class Keeper : public IKeeper
{
public:
    Keeper(boost::asio::io_context &control,
           const KeeperSettings &settings,
           std::string hostId,
           membership::IMembership &membership,
           std::shared_ptr<rpc::IPeerClient> client,
           std::shared_ptr<timeline::ITimeline> timeline,
           Adopt adopt);

    /// Adds the methods and the observer. Precondition: called once.
    void attach(rpc::IPeerServer &server);

    void start() override;
    void accepted(const RecordPtr &record) override;
    void ended(const std::string &id) override;
    [[nodiscard]] std::vector<RecordPtr> own() const override;
    boost::asio::awaitable<std::optional<std::string>> handOver(std::vector<RecordPtr> records) override;
    [[nodiscard]] std::size_t keptRecords() const override;
    [[nodiscard]] bool keeps(const std::string &id) const override;

private:
    using Clock = std::chrono::steady_clock;

    struct Own {
        RecordPtr record;
        std::optional<membership::Peer> keeper;
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
    bool chooseKeeper(Own &own);
    void peerAppeared();
    void peerLost(const membership::Peer &peer);
    [[nodiscard]] KeptRecord kept(const requests::RequestRecord &record) const;
    std::optional<Json::Value> keep(const Json::Value &params);
    std::optional<Json::Value> takeOver(const Json::Value &params);

    boost::asio::io_context &m_control;
    const KeeperSettings m_settings;
    const std::string m_hostId;
    membership::IMembership &m_membership;
    const std::shared_ptr<rpc::IPeerClient> m_client;
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const Adopt m_adopt;
    std::map<std::string, Own> m_own;
    std::map<std::string, KeptRecord> m_kept;
};

}
