#pragma once

#include "gossip/peerstatus.h"

#include <functional>
#include <set>
#include <span>

namespace rosemaryshift::gossip {

/// Another gateway, as this host knows it.
struct Peer {
    PeerStatus status;
    TimePoint heard;          ///< When the last status was received.
    bool silent = false;      ///< No status was received for several of the peer's intervals.
    TimePoint addressesNoted; ///< When the addresses that the peer lists were last noted.

    /// How long the peer's last status counts as recent: @p intervals of its own.
    [[nodiscard]] Duration lifetime(double intervals) const
    {
        return std::chrono::duration_cast<Duration>(status.interval * intervals);
    }
};

/// Where a status is sent, and how.
struct Destination {
    std::string address;
    std::optional<std::uint64_t> echoUs; ///< The value of PeerStatus::sentUs last received from there; nothing when it is too old to be useful.
    bool readsCompact = false;           ///< The host there has shown that it reads the compact form.
};

/// Tracks the other gateways by the statuses that they send. A peer from which nothing is received is first marked silent, so that callers can
/// be cautious about it, and later removed. Each call passes the current time. Not thread-safe.
class PeerRegistry
{
public:
    /// Called with a peer and its @p change: "found", "silent", "heard again", "restarted", "left" or "forgotten".
    using Listener = std::function<void(const Peer &peer, std::string_view change)>;

    PeerRegistry(std::string ownAddress, Listener listener);

    /// Sets the addresses of gateways that may exist; statuses are also sent there, so that they learn of this host.
    void setSeeds(const std::vector<std::string> &addresses);
    /// Applies the status of a peer. Returns false when the status is not applied: it is this host's own, not newer than the known one, or from a
    /// peer that leaves or has left.
    bool apply(PeerStatus status, TimePoint now);
    /// Marks peers silent, and removes those that have been silent for long.
    void expire(TimePoint now);

    /// Addresses to send this host's status to.
    [[nodiscard]] std::set<std::string> addresses() const;
    /// Addresses of the other hosts that may be sending requests to upstreams: the known peers, silent ones included, and the hosts that peers have
    /// listed recently; the seeds while no peer is known.
    [[nodiscard]] std::vector<std::string> otherHostAddresses() const;
    /// All known peers, by host name; includes the silent ones.
    [[nodiscard]] const std::map<std::string, Peer> &peers() const;
    /// The hosts at @p addresses in the same order, each with what a status sent there at @p now depends on.
    [[nodiscard]] std::vector<Destination> destinations(std::span<const std::string> addresses, TimePoint now) const;
    /// Number of hosts that share quotas and budgets: this one and all known peers, including the silent ones.
    [[nodiscard]] std::size_t hostCount() const;
    /// Availability zones in which all known peers are silent. This host may be partitioned from them.
    [[nodiscard]] std::set<std::string> silentZones() const;
    /// Peers that are not silent, take forwarded requests and reach @p service.
    [[nodiscard]] std::vector<const Peer *> peersReaching(const std::string &service) const;
    /// Names of the peers that are not silent.
    [[nodiscard]] std::vector<std::string> heardHosts() const;
    /// Whether a peer that is not silent reads only the JSON form of statuses, as earlier software versions do.
    [[nodiscard]] bool anyHeardReadsJsonOnly() const;
    /// Whether any peer is silent.
    [[nodiscard]] bool anySilent() const;

private:
    /// What a status to @p peer depends on.
    [[nodiscard]] static Destination destinationOf(const Peer &peer, TimePoint now);
    /// Notes the addresses that a peer lists. @p known: the peer's last status, if there is one.
    void noteAddresses(const PeerStatus &status, Peer *known, TimePoint now);

    const std::string m_ownAddress;
    const Listener m_listener;
    std::set<std::string> m_seeds;
    std::map<std::string, TimePoint> m_learnedAddresses; ///< Addresses that peers have listed, and when they last did.
    std::map<std::string, Peer> m_peers;
    std::map<std::string, std::string> m_leftStarts; ///< The process that announced that it leaves, by host name.
};

}
