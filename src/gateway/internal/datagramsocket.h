#pragma once

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace rosemaryshift::gateway {

/// Size of a receive buffer in bytes: the largest payload of UDP over IPv4. A truncated message could not be read.
constexpr std::size_t MaxDatagramBytes = 65'507;

/// Opens a UDP socket at @p address and @p port whose calls never block. Returns nothing, and sets @p reason, when that fails. Thread-safe.
std::optional<boost::asio::ip::udp::socket>
openDatagramSocket(boost::asio::io_context &ioContext, const std::string &address, std::uint16_t port, std::string &reason);

}
