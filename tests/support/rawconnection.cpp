#include "support/rawconnection.h"

#include "support/process.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace rosemaryshift::testing {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;

sockaddr_in socketAddress(const http::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    REQUIRE(inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) == 1);
    return address;
}

}

RawConnection::RawConnection(const http::Endpoint &endpoint)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = socketAddress(endpoint);
    const timeval limit{.tv_sec = WaitLimit.count(), .tv_usec = 0};
    REQUIRE(::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)) == 0);
    REQUIRE(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
}

RawConnection::~RawConnection()
{
    ::close(m_socket);
}

void RawConnection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void RawConnection::finishSending() const
{
    ::shutdown(m_socket, SHUT_WR);
}

bool RawConnection::readSome()
{
    std::array<char, ReadBytes> buffer{};
    const ssize_t length = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    INFO("received so far: " << m_received);
    REQUIRE((length >= 0 || errno == ECONNRESET));
    if (length <= 0) {
        return false;
    }
    m_received.append(buffer.data(), static_cast<std::size_t>(length));
    return true;
}

std::string RawConnection::awaitText(const std::string &text)
{
    while (m_received.find(text) == std::string::npos) {
        INFO("waiting for: " << text << "; received so far: " << m_received);
        REQUIRE(readSome());
    }
    return m_received;
}

std::string RawConnection::awaitClose()
{
    while (readSome()) { }
    return m_received;
}

}
