#pragma once

#include "membership/membershiptypes.h"
#include "platform/platformtypes.h"
#include "rpc/ipeerrpc.h"
#include "timeline/itimeline.h"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::membership {

/// A section of the heartbeats that another module writes and reads, such as leaving upstreams or template revisions.
/// Used only on the control thread.
class IHeartbeatSection
{
public:
    virtual ~IHeartbeatSection() = default;

    /// Name of the section in a heartbeat, unique among all sections.
    [[nodiscard]] virtual std::string name() const = 0;
    /// Content of the section in a heartbeat to @p peer.
    virtual Json::Value write(const Peer &peer) = 0;
    /// Handles the section of a heartbeat from @p peer; @p value may be malformed.
    virtual void read(const Peer &peer, const Json::Value &value) = 0;
};

/// Tracks which other entry hosts are live, by exchanging heartbeats with them. Used only on the control thread.
class IMembership
{
public:
    /// Called on every change of a peer.
    using Observer = std::function<void(const Peer &peer, PeerChange change)>;

    virtual ~IMembership() = default;

    /// Starts to send heartbeats. Precondition: called once, after all sections and observers were added.
    virtual void start() = 0;
    /// Updates the hosts to call from the platform's list. A host that still sends heartbeats is kept even if it is not listed.
    virtual void updateHostList(const platform::HostList &list) = 0;
    /// Announces to all peers, at once and in every later heartbeat, that this host accepts no new work.
    virtual void leave() = 0;
    /// Sends a heartbeat to every peer without waiting until the next one is due, for a section whose content has changed.
    virtual void sendHeartbeatsSoon() = 0;
    /// The live peers in order of their names, including those that are leaving.
    [[nodiscard]] virtual std::vector<Peer> peers() const = 0;
    /// The live peer @p name; nothing when it is unknown or was lost.
    [[nodiscard]] virtual std::optional<Peer> peer(std::string_view name) const = 0;
    /// The description of this host that it sends to its peers.
    [[nodiscard]] virtual const Peer &self() const = 0;
    /// Adds a section to all later heartbeats.
    virtual void addSection(std::shared_ptr<IHeartbeatSection> section) = 0;
    /// Adds an observer of all later changes.
    virtual void addObserver(Observer observer) = 0;
};

/// Creates the membership of the host @p self and registers its RPC method "heartbeat" with @p server.
std::unique_ptr<IMembership> makeMembership(boost::asio::io_context &control,
                                            const MembershipSettings &settings,
                                            Peer self,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline);

}
