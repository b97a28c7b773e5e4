#pragma once

#include <boost/asio.hpp>

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace rosemaryshift::review {

/// A port that is free on a loopback @p address.
std::uint16_t freePort(const std::string &address);

/// A gateway that was started with the command of the deploy file; killed with the object. Not thread-safe.
class Gateway
{
public:
    /// Writes the settings and the output into @p folder. @p platform: address and port of the platform. @p peersPort and @p relayPort are the same of all
    /// gateways. @p promises: the table of that name in the settings.
    Gateway(const std::filesystem::path &folder,
            std::size_t index,
            const std::string &platform,
            std::uint16_t peersPort,
            std::uint16_t relayPort,
            std::string_view promises);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Where it listens for clients.
    [[nodiscard]] boost::asio::ip::tcp::endpoint callers() const;
    /// Waits until it says that it is ready. Returns whether it did.
    [[nodiscard]] bool awaitReady() const;

private:
    void start(const std::string &settings, const std::string &log);

    pid_t m_pid = -1;
    boost::asio::ip::tcp::endpoint m_callers;
    boost::asio::ip::tcp::endpoint m_readiness;
};

}
