#pragma once

#include "gateway/internal/gatewaycontext.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace rosemaryshift::gateway {

/// Keeps the configuration in force up to date from the platform's log. Used from the gateway's thread.
class ConfigurationFollower
{
public:
    /// @p onNewConfiguration is called after each change of what is in force.
    ConfigurationFollower(GatewayContext &context, std::function<void()> onNewConfiguration);

    /// Follows the log for ever.
    boost::asio::awaitable<void> run();
    /// Takes a configuration's text, from the log or from a peer; one that is malformed or not newer changes nothing. Returns the version.
    std::uint64_t take(const std::string &text, std::string_view source);

private:
    boost::asio::awaitable<bool> readNewest(ports::LogFailure &failure);
    boost::asio::awaitable<bool> readOn(ports::LogFailure &failure);
    void takeRecords(std::span<const ports::Record> records);
    void noteReachable(bool reachable, std::string_view reason);

    GatewayContext &m_context;
    const std::function<void()> m_onNewConfiguration;
    std::optional<std::uint64_t> m_offset; ///< Where to read on; nothing when the newest records must be read.
    std::uint64_t m_lastVersion = 0;       ///< Newest version that the log has shown.
    bool m_reachable = true;
};

}
