#include "http/connectionpool.h"

#include "http/internal/clientconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace rosemaryshift::http {

namespace {

/// How long a connection is kept when the server does not state its limit.
constexpr std::chrono::milliseconds DefaultIdleTimeout{4'000};
/// Left of the server's limit when a connection is given up, so that a request does not cross the server's close.
constexpr std::chrono::milliseconds IdleMargin{500};

/// Whether the peer has neither closed nor sent anything: bytes without a request belong to no answer.
bool silent(ClientConnection &connection)
{
    char byte = 0;
    const ssize_t count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}

struct ConnectionPool::Idle {
    std::unique_ptr<ClientConnection> connection;
    std::chrono::steady_clock::time_point expires;
};

ConnectionPool::ConnectionPool() = default;
ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<ClientConnection> ConnectionPool::take(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint.text());
    if (found == m_idle.end()) {
        return nullptr;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::vector<Idle> &idle = found->second;
    while (!idle.empty()) {
        Idle candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate.expires > now && silent(*candidate.connection)) {
            return std::move(candidate.connection);
        }
    }
    return nullptr;
}

void ConnectionPool::keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection, std::optional<std::chrono::milliseconds> idleTimeout)
{
    const std::chrono::milliseconds lasts = idleTimeout.value_or(DefaultIdleTimeout) - IdleMargin;
    if (lasts <= std::chrono::milliseconds::zero()) {
        return;
    }
    connection->stream.expires_never();
    m_idle[endpoint.text()].push_back({std::move(connection), std::chrono::steady_clock::now() + lasts});
}

void ConnectionPool::drop(const Endpoint &endpoint)
{
    m_idle.erase(endpoint.text());
}

void ConnectionPool::closeExpired()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const Idle &idle) { return idle.expires <= now; });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

std::size_t ConnectionPool::size() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

}
