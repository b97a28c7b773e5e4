#include "http/internal/clientconnection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace rosemaryshift::http {

namespace net = boost::asio;

namespace {

/// Time after which a connection with unacknowledged sent bytes is closed; long enough for several TCP retransmissions.
constexpr std::chrono::milliseconds UnacknowledgedTimeout{1'200};

}

ClientConnection::ClientConnection(const net::any_io_executor &executor)
    : stream(executor)
{
}

void ClientConnection::setOptions()
{
    boost::system::error_code ignored;
    stream.socket().set_option(net::ip::tcp::no_delay(true), ignored);
    // Detects a broken network link earlier than the timeout of the answer does.
    using UserTimeout = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    stream.socket().set_option(UserTimeout(static_cast<int>(UnacknowledgedTimeout.count())), ignored);
    // Closing resets the connection, so that a delayed request is dropped with its exchange instead of arriving later.
    stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
}

std::size_t ClientConnection::unreadBytes()
{
    char byte = 0;
    const ssize_t count = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return 0;
    }
    if (count < 0 && !error) {
        error.assign(errno, boost::system::system_category());
    }
    boost::system::error_code ignored;
    return std::max<std::size_t>(stream.socket().available(ignored), 1);
}

}
