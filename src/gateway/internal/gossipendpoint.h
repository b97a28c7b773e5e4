#pragma once

#include "gateway/internal/configurationfollower.h"
#include "gateway/internal/gatewaycontext.h"
#include "gossip/peerregistry.h"

#include <boost/asio/ip/udp.hpp>

namespace rosemaryshift::gateway {

/// Exchanges news with the other gateways and carries what they say to where it belongs. Used from the gateway's thread.
class GossipEndpoint
{
public:
    GossipEndpoint(GatewayContext &context, ConfigurationFollower &configurations, duties::UsageCollector &usage);

    /// Binds the socket; false, with @p reason set, when that fails.
    bool open(boost::asio::io_context &ioContext, std::string &reason);
    /// Tells the peers for ever.
    boost::asio::awaitable<void> send();
    /// Hears the peers for ever.
    boost::asio::awaitable<void> receive();
    /// Takes addresses of gateways that may be there.
    void setSeeds(const std::vector<std::string> &addresses);
    /// Tells the peers the last counts, and that this host says no more.
    void sayLeaving();
    /// Whether peers are told that this host holds the duties.
    void setHoldsDuties(bool holds);
    /// Whether a peer has said of late that it holds the duties.
    [[nodiscard]] bool holderHeard(TimePoint now) const;
    [[nodiscard]] const gossip::PeerRegistry &registry() const;
    /// Upstreams that the requests of all hosts keep busy, by service.
    [[nodiscard]] std::map<std::string, double> busyUpstreams(TimePoint now) const;

private:
    [[nodiscard]] gossip::PeerStatus ownNews(TimePoint now) const;
    void addUsage(gossip::PeerStatus &news, TimePoint now) const;
    void take(gossip::PeerStatus news);
    void sendTo(gossip::PeerStatus &news, const std::string &address, TimePoint now);
    void share(TimePoint now);
    boost::asio::awaitable<void> fetchConfiguration(std::string address);

    GatewayContext &m_context;
    ConfigurationFollower &m_configurations;
    duties::UsageCollector &m_usage;
    gossip::PeerRegistry m_registry;
    std::optional<boost::asio::ip::udp::socket> m_socket;
    std::map<std::string, std::map<std::string, double>> m_peerShares; ///< Of the quotas, by peer and workspace, when all were last heard.
    bool m_fetching = false;
    bool m_holdsDuties = false;
};

}
