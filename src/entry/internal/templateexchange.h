#pragma once

#include "entry/internal/logfollower.h"
#include "entry/internal/templatetable.h"
#include "membership/imembership.h"
#include "rpc/ipeerrpc.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryshift::entry {

/// What a peer last said about its templates.
struct PeerTemplates {
    std::uint64_t logPosition = 0;
    bool logReachable = false;
    bool complete = false;   ///< The peer's templates came from the whole log or from a complete peer.
    std::string fingerprint; ///< Equal on hosts with the same revisions in force.
    std::uint32_t differingHeartbeats = 0;
    bool pulling = false;
    std::map<std::string, std::uint64_t> revisions; ///< By workspace, at the last pull.
};

/// Tells peers in heartbeats which templates are in force here, and fetches from them what this host lacks. Belongs to the
/// control thread.
class TemplateExchange : public membership::IHeartbeatSection, public std::enable_shared_from_this<TemplateExchange>
{
public:
    /// Called after revisions were taken from a peer.
    using AdoptedHandler = std::function<void()>;

    /// Keeps references to @p table and @p follower, which must live longer.
    TemplateExchange(
        boost::asio::io_context &context, TemplateTable &table, const LogFollower &follower, std::shared_ptr<rpc::IPeerClient> client, AdoptedHandler adopted);

    /// Adds the method by which peers fetch revisions. Precondition: the server does not serve yet.
    void serve(rpc::IPeerServer &server);

    [[nodiscard]] std::string name() const override;
    Json::Value write(const membership::Peer &peer) override;
    void read(const membership::Peer &peer, const Json::Value &value) override;

    /// Lets go of what a peer said that was lost.
    void forget(const std::string &peer);
    /// What the peer @p name last said; null when it said nothing yet.
    [[nodiscard]] const PeerTemplates *find(const std::string &name) const;
    /// Equal on hosts with the same revisions in force.
    [[nodiscard]] std::string fingerprint() const;
    /// True once this host's templates came from the whole log or from a complete peer.
    [[nodiscard]] bool complete() const;

private:
    [[nodiscard]] Json::Value knownRevisions() const;
    [[nodiscard]] Json::Value revisionsBeyond(const Json::Value &known) const;
    boost::asio::awaitable<void> pull(membership::Peer peer);
    void applyPullAnswer(const std::string &peer, const Json::Value &answer);

    boost::asio::io_context &m_context;
    TemplateTable &m_table;
    const LogFollower &m_follower;
    const std::shared_ptr<rpc::IPeerClient> m_client;
    const AdoptedHandler m_adopted;
    std::map<std::string, PeerTemplates, std::less<>> m_peers;
    bool m_completeFromPeer = false;
};

}
