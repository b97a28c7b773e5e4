#pragma once

#include "gossip/peerstatus.h"

#include <functional>
#include <set>

namespace rosemaryshift::gossip {

/// A gateway as the others know it.
struct Peer {
    PeerStatus status;
    TimePoint heard;
    bool silent = false;
};

/// What this host knows of the other gateways. A peer that says nothing is silent first, which makes this host careful, and forgotten later.
/// Time comes in with each call. Not thread-safe.
class PeerRegistry
{
public:
    /// Called when a peer is heard first, falls silent, is heard again, has left, or is forgotten.
    using Listener = std::function<void(const Peer &peer, std::string_view change)>;

    PeerRegistry(std::string ownAddress, Listener listener);

    /// Takes addresses of gateways that may be there; they are told of this host.
    void setSeeds(const std::vector<std::string> &addresses);
    /// Takes news of a peer; false when it is older than what is known, this host's own, or the last of a peer that leaves.
    bool apply(PeerStatus news, TimePoint now);
    /// Marks peers silent and forgets those that have been for long.
    void expire(TimePoint now);

    /// Addresses to send news to.
    [[nodiscard]] std::set<std::string> addresses() const;
    /// All peers that are not forgotten, by name.
    [[nodiscard]] const std::map<std::string, Peer> &peers() const;
    /// The last sending time heard from the peer at @p address, to be echoed.
    [[nodiscard]] std::optional<std::uint64_t> echoFor(const std::string &address, TimePoint now) const;
    /// Hosts that share quotas and budgets: this one, and each peer that is not forgotten.
    [[nodiscard]] std::size_t hostCount() const;
    /// Availability zones of which peers are known and all are silent: they may be cut off from this host.
    [[nodiscard]] std::set<std::string> silentZones() const;
    /// Whether any peer is silent.
    [[nodiscard]] bool anySilent() const;

private:
    const std::string m_ownAddress;
    const Listener m_listener;
    std::set<std::string> m_seeds;
    std::map<std::string, TimePoint> m_told; ///< Addresses that peers have told of, and when.
    std::map<std::string, Peer> m_peers;
    std::map<std::string, std::string> m_left; ///< Starts of hosts that have said they leave, by host.
};

}
