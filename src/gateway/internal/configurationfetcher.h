#pragma once

#include "gateway/internal/configurationfollower.h"
#include "gateway/internal/gatewaycontext.h"
#include "gossip/peerregistry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Chooses the peer from which a configuration is fetched: the one at the part @p fraction, from 0 up to 1, of @p candidates, of which @p lastFailed is left
/// out unless it is the only one. Precondition: there is a candidate. Thread-safe.
std::string chooseFetchSource(std::span<const std::string> candidates, const std::string &lastFailed, double fraction);
/// Delay of the fetch that follows after @p failures failed ones, for a @p fraction from 0 up to 1. Thread-safe.
std::chrono::milliseconds fetchDelay(unsigned int failures, double fraction);

/// Fetches the configuration from peers that have a newer one than this host's, if it does not arrive from the platform's log. Used from the gateway's thread.
class ConfigurationFetcher
{
public:
    ConfigurationFetcher(GatewayContext &context, ConfigurationFollower &configurationFollower, const LogRelay &relay, const gossip::PeerRegistry &registry);

    /// Starts to fetch on @p executor if a peer has a newer configuration. Does nothing while a fetch is in progress.
    void update(const boost::asio::any_io_executor &executor);
    /// Notes that the host at @p address has the @p version of the configuration.
    void noteHolder(const std::string &address, std::uint64_t version);

private:
    enum class Outcome : std::uint8_t {
        Fetched,
        Failed,
        Busy,     ///< The peer serves others, and may have named peers that have the configuration, too.
        NotNewer, ///< The peer does not have it itself, or not yet.
    };

    boost::asio::awaitable<void> fetchNewer();
    /// Fetches the configuration from the peer at @p address and puts it in force.
    boost::asio::awaitable<Outcome> fetchFrom(std::string address);
    /// Puts the configuration that a peer has answered with in force; @p base is the text that this host told it to have.
    boost::asio::awaitable<Outcome> apply(http::Response response, configurations::SectionedText base, TimePoint readAt);
    /// Addresses of the peers that have a newer configuration than this host: those that were named as holders, and those that are heard; of these those of its
    /// own availability zone if there are any.
    [[nodiscard]] std::vector<std::string> sources() const;

    GatewayContext &m_context;
    ConfigurationFollower &m_configurationFollower;
    const LogRelay &m_relay;
    const gossip::PeerRegistry &m_registry;
    std::map<std::string, std::uint64_t> m_holders; ///< Versions by the address of a host that has them, newer than this host's.
    bool m_fetching = false;
};

}
