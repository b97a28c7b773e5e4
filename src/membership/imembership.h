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

/// A part of every heartbeat that another module fills and reads, such as leaving upstreams or template revisions.
/// Belongs to the control thread.
class IHeartbeatSection
{
public:
    virtual ~IHeartbeatSection() = default;

    /// Name of the section in the heartbeat; unique.
    [[nodiscard]] virtual std::string name() const = 0;
    /// What this host says to @p peer.
    virtual Json::Value write(const Peer &peer) = 0;
    /// What @p peer says; may be malformed.
    virtual void read(const Peer &peer, const Json::Value &value) = 0;
};

/// The entry hosts that this host knows to be there. Belongs to the control thread.
class IMembership
{
public:
    using Observer = std::function<void(const Peer &peer, PeerChange change)>;

    virtual ~IMembership() = default;

    /// Starts the heartbeats. Precondition: called once, after all sections and observers were added.
    virtual void start() = 0;
    /// Takes in the platform's list; it adds hosts to call and never removes one that answers.
    virtual void updateHostList(const platform::HostList &list) = 0;
    /// Tells peers at once, and from now on, that this host takes no new work.
    virtual void leave() = 0;
    /// Sends a heartbeat to every peer soon, not only when the next one is due, because a section has news.
    virtual void sendHeartbeatsSoon() = 0;
    /// Peers heard of lately, leaving ones included, by name.
    [[nodiscard]] virtual std::vector<Peer> peers() const = 0;
    /// The peer @p name; nothing when it is not known or was lost.
    [[nodiscard]] virtual std::optional<Peer> peer(std::string_view name) const = 0;
    /// This host as its peers see it.
    [[nodiscard]] virtual const Peer &self() const = 0;
    virtual void addSection(std::shared_ptr<IHeartbeatSection> section) = 0;
    virtual void addObserver(Observer observer) = 0;
};

/// Makes the membership of @p self; registers the method "heartbeat" at @p server.
std::unique_ptr<IMembership> makeMembership(boost::asio::io_context &control,
                                            const MembershipSettings &settings,
                                            Peer self,
                                            std::shared_ptr<rpc::IPeerClient> client,
                                            rpc::IPeerServer &server,
                                            std::shared_ptr<timeline::ITimeline> timeline);

}
