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

/// A peer's templates, from its last heartbeat and last pull.
struct PeerTemplates {
    std::uint64_t logPosition = 0;
    bool logReachable = false;
    bool complete = false;                          ///< The peer has read the whole log, or has the templates of a complete peer.
    std::string fingerprint;                        ///< Digest of the revisions in force; equal on hosts with the same ones.
    std::uint32_t differingHeartbeats = 0;          ///< Consecutive heartbeats whose fingerprint differed from this host's.
    bool pulling = false;                           ///< A pull from this peer is running.
    std::map<std::string, std::uint64_t> revisions; ///< Revision by workspace, at the last pull.
};

/// Heartbeat section with a fingerprint of the templates in force. Pulls missing revisions from peers whose fingerprint
/// differs. Must be used on the control thread.
class TemplateExchange : public membership::IHeartbeatSection, public std::enable_shared_from_this<TemplateExchange>
{
public:
    /// Called after revisions from a peer came into force.
    using AdoptedHandler = std::function<void()>;

    /// Precondition: @p table and @p follower outlive the exchange.
    TemplateExchange(
        boost::asio::io_context &context, TemplateTable &table, const LogFollower &follower, std::shared_ptr<rpc::IPeerClient> client, AdoptedHandler adopted);

    /// Registers the RPC method by which peers pull revisions. Precondition: the server does not serve yet.
    void serve(rpc::IPeerServer &server);

    [[nodiscard]] std::string name() const override;
    Json::Value write(const membership::Peer &peer) override;
    void read(const membership::Peer &peer, const Json::Value &value) override;

    /// Drops the state of a lost peer.
    void forget(const std::string &peer);
    /// Templates of the peer @p name; null before its first heartbeat.
    [[nodiscard]] const PeerTemplates *find(const std::string &name) const;
    /// Digest of the revisions in force; equal on hosts with the same ones.
    [[nodiscard]] std::string fingerprint() const;
    /// True once this host has read the whole log, or has the templates of a complete peer.
    [[nodiscard]] bool complete() const;

private:
    [[nodiscard]] Json::Value knownRevisions() const;
    /// Answer to a pull: the revisions that supersede those in @p known.
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
