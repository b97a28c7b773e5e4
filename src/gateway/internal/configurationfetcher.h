#pragma once

#include "gateway/internal/configurationfollower.h"
#include "gateway/internal/gatewaycontext.h"
#include "gossip/peerregistry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Chooses the peer from which a configuration is fetched: the one at the part @p fraction, from 0 up to 1, of @p candidates, of which @p lastFailed is left
/// out unless it is the only one. Precondition: there is a candidate. Thread-safe.
std::string chooseFetchSource(std::span<const std::string> candidates, const std::string &lastFailed, double fraction);
/// Delay of the fetch that follows after @p failures failed ones, for a @p fraction from 0 up to 1. Thread-safe.
std::chrono::milliseconds fetchDelay(unsigned int failures, double fraction);

/// Fetches the configuration from peers that have told of a newer one than this host's, if it does not arrive from the platform's log. Used from the
/// gateway's thread.
class ConfigurationFetcher
{
public:
    ConfigurationFetcher(GatewayContext &context, ConfigurationFollower &configurationFollower, const gossip::PeerRegistry &registry);

    /// Starts to fetch on @p executor if a peer has a newer configuration. Does nothing while a fetch is in progress.
    void update(const boost::asio::any_io_executor &executor);

private:
    boost::asio::awaitable<void> fetchNewer();
    /// Fetches the configuration from the peer at @p address and puts it in force. Returns false when that fails.
    boost::asio::awaitable<bool> fetchFrom(std::string address);
    /// Addresses of the peers that are heard and have a newer configuration than this host; those of its own availability zone if there are any.
    [[nodiscard]] std::vector<std::string> sources() const;

    GatewayContext &m_context;
    ConfigurationFollower &m_configurationFollower;
    const gossip::PeerRegistry &m_registry;
    bool m_fetching = false;
};

}
