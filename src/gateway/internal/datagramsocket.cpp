#include "gateway/internal/datagramsocket.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;
using net::ip::udp;

std::optional<udp::socket> openDatagramSocket(net::io_context &ioContext, const std::string &address, std::uint16_t port, std::string &reason)
{
    boost::system::error_code error;
    const net::ip::address parsed = net::ip::make_address(address, error);
    udp::socket socket(ioContext);
    if (!error) {
        socket.open(udp::v4(), error);
    }
    if (!error) {
        socket.bind(udp::endpoint(parsed, port), error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    if (error) {
        reason = "cannot bind " + address + ":" + std::to_string(port) + ": " + error.message();
        return std::nullopt;
    }
    return socket;
}

}
