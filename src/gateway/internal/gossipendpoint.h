#pragma once

#include "gateway/internal/configurationfetcher.h"
#include "gateway/internal/gatewaycontext.h"
#include "gossip/peerlistschedule.h"
#include "gossip/peerregistry.h"
#include "gossip/usagerelay.h"

#include <boost/asio/ip/udp.hpp>

#include <set>
#include <span>

namespace rosemaryshift::gateway {

/// Exchanges gossip with the other gateways over UDP and applies what they send to the shared state. Used from the gateway's thread.
class GossipEndpoint
{
public:
    GossipEndpoint(GatewayContext &context, ConfigurationFollower &configurationFollower, const LogRelay &relay, duties::UsageCollector &usageCollector);

    /// Binds the socket. Returns false, and sets @p reason, when that fails.
    bool open(boost::asio::io_context &ioContext, std::string &reason);
    /// Sends this host's status to the peers periodically until the process ends; never returns.
    boost::asio::awaitable<void> send();
    /// Receives the statuses of the peers until the socket is closed.
    boost::asio::awaitable<void> receive();
    /// Sets the IP addresses of gateways that may exist; this host's status is also sent to them.
    void setSeeds(const std::vector<std::string> &addresses);
    /// Sends the current status to the peers, outside of the interval.
    void sendNow();
    /// Sends the final counts to the peers, and then that this host is leaving.
    void announceLeaving();
    /// Sets whether this host's status says that it holds the singleton duties.
    void setHoldsDuties(bool holds);
    /// Whether a peer recently reported that it holds the singleton duties.
    [[nodiscard]] bool peerHoldsDuties(TimePoint now) const;
    /// Passes what the heard peers last reported to a quota rule that is newly in force.
    void informQuotaRule(TimePoint now);
    /// Notes that the host at @p address has the @p version of the configuration, and fetches it there or elsewhere if it is newer than this host's.
    void noteConfigurationAt(const std::string &address, std::uint64_t version);
    [[nodiscard]] const gossip::PeerRegistry &registry() const;
    /// The load of all hosts by service: the sum of what localBusyUpstreams() gives on each of them.
    [[nodiscard]] std::map<std::string, double> totalBusyUpstreams(TimePoint now) const;

private:
    [[nodiscard]] gossip::PeerStatus localStatus(TimePoint now);
    /// Chooses the host processes whose usage counts the statuses of this interval hold in place of them.
    void chooseRelayedUsage(TimePoint now);
    /// Adds the counts of the recent usage windows: this host's own, and those of some host processes that it no longer hears.
    void addUsageTo(gossip::PeerStatus &status, TimePoint now);
    /// The host processes that have reported counts of these windows and are not heard now.
    [[nodiscard]] std::set<std::string> unheardProcesses(std::uint64_t firstWindow, std::uint64_t lastWindow) const;
    /// All hosts that statuses are sent to.
    [[nodiscard]] std::vector<gossip::Destination> allDestinations(TimePoint now) const;
    /// Handles the datagrams that wait to be read, up to a limit. @p buffer takes one of them.
    void receiveWaiting(std::string &buffer);
    void handleDatagram(std::string_view datagram, const boost::asio::ip::udp::endpoint &from);
    void handleStatus(gossip::PeerStatus received);
    /// Applies what a peer tells of the age of its configuration.
    void noteConfirmation(const gossip::PeerStatus &status, TimePoint now);
    /// Forgets the newest known version of the configuration when nobody has confirmed this host's for the bound, and no host that is heard has a newer one.
    void forgetLostVersion(TimePoint now);
    /// Sends @p status to all @p destinations, to each in the form that it reads.
    void sendStatus(const gossip::PeerStatus &status, std::span<const gossip::Destination> destinations, bool withPeers);
    /// Addresses of all known peers, the silent ones included.
    [[nodiscard]] std::set<std::string> peerAddresses() const;
    /// Passes the usage and demand that a peer has reported to the quotas.
    void applyQuotaReport(const gossip::PeerStatus &status, TimePoint now);
    /// Sends this host's status to the hosts that have just started, a short time after the first of them was heard.
    boost::asio::awaitable<void> greetNewHosts();
    /// Recomputes this host's share of each workspace's quota from the demand on all hosts.
    void updateShares(TimePoint now);
    /// Demand on each workspace's quota.
    struct DemandOfHosts {
        std::map<std::string, double> heard; ///< On this host and the peers that are heard.
        std::map<std::string, double> all;   ///< Also on the silent peers, as last reported.
    };
    /// The demand for each workspace of @p own, this host's demand.
    [[nodiscard]] DemandOfHosts demandOfHosts(const std::map<std::string, double> &own) const;
    /// Notes the share of each workspace's quota of each peer that has fallen silent, to be kept for it while it is.
    void notePeerShares(const std::map<std::string, double> &totalDemand, std::size_t hosts);

    GatewayContext &m_context;
    duties::UsageCollector &m_usageCollector;
    gossip::PeerRegistry m_registry;
    ConfigurationFetcher m_configurationFetcher;
    std::optional<boost::asio::ip::udp::socket> m_socket;
    /// Quota shares of the silent peers, by peer and workspace, as of when each of them fell silent.
    std::map<std::string, std::map<std::string, double>> m_silentShares;
    std::optional<TimePoint> m_sharesUpdatedAt;
    std::set<std::string> m_newAddresses; ///< Hosts that have just started and were not sent a status yet.
    gossip::UsageRelay m_usageRelay;
    std::set<std::string> m_relayedProcesses; ///< See chooseRelayedUsage().
    gossip::PeerListSchedule m_peerLists;
    bool m_holdsDuties = false;
};

}
