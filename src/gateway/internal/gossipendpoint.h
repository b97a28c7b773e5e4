#pragma once

#include "gateway/internal/configurationfollower.h"
#include "gateway/internal/gatewaycontext.h"
#include "gossip/peerregistry.h"

#include <boost/asio/ip/udp.hpp>

namespace rosemaryshift::gateway {

/// Exchanges gossip with the other gateways over UDP and applies what they send to the shared state. Used from the gateway's thread.
class GossipEndpoint
{
public:
    GossipEndpoint(GatewayContext &context, ConfigurationFollower &configurationFollower, duties::UsageCollector &usageCollector);

    /// Binds the socket. Returns false, and sets @p reason, when that fails.
    bool open(boost::asio::io_context &ioContext, std::string &reason);
    /// Sends news to the peers periodically until the process ends; never returns.
    boost::asio::awaitable<void> send();
    /// Receives news from the peers until the socket is closed.
    boost::asio::awaitable<void> receive();
    /// Sets the IP addresses of gateways that may exist; news is sent to all of them.
    void setSeeds(const std::vector<std::string> &addresses);
    /// Sends the final counts to the peers, and then that this host is leaving.
    void announceLeaving();
    /// Sets whether the news tells that this host holds the singleton duties.
    void setHoldsDuties(bool holds);
    /// Whether a peer recently reported that it holds the singleton duties.
    [[nodiscard]] bool peerHoldsDuties(TimePoint now) const;
    [[nodiscard]] const gossip::PeerRegistry &registry() const;
    /// The load of all hosts by service: the sum of what localBusyUpstreams() gives on each of them.
    [[nodiscard]] std::map<std::string, double> totalBusyUpstreams(TimePoint now) const;

private:
    [[nodiscard]] gossip::PeerStatus localNews(TimePoint now) const;
    void addUsageTo(gossip::PeerStatus &news, TimePoint now) const;
    void handleNews(gossip::PeerStatus news);
    void sendTo(gossip::PeerStatus &news, const std::string &address, TimePoint now);
    /// Recomputes this host's share of each workspace's quota from the demand on all hosts.
    void updateShares(TimePoint now);
    boost::asio::awaitable<void> fetchConfiguration(std::string address);

    GatewayContext &m_context;
    ConfigurationFollower &m_configurationFollower;
    duties::UsageCollector &m_usageCollector;
    gossip::PeerRegistry m_registry;
    std::optional<boost::asio::ip::udp::socket> m_socket;
    std::map<std::string, std::map<std::string, double>> m_peerShares; ///< By peer and workspace, as of when no peer was silent.
    bool m_fetchingConfiguration = false;
    bool m_holdsDuties = false;
};

}
