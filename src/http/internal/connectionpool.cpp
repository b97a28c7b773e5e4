#include "http/connectionpool.h"

#include "http/internal/clientconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace rosemaryshift::http {

namespace {

/// Idle timeout that is assumed when the server does not announce one.
constexpr std::chrono::milliseconds DefaultIdleTimeout{4'000};
/// Time before the server's idle timeout at which a connection is closed, so that no request is sent while the server closes it.
constexpr std::chrono::milliseconds IdleMargin{500};

/// State of an idle connection.
enum class IdleState : std::uint8_t {
    Reusable,
    HasBytes, ///< Bytes received without a request, which belong to no answer.
    Ended,    ///< By the other side or by an error.
};

IdleState stateOf(ClientConnection &connection)
{
    char byte = 0;
    const ssize_t count = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return IdleState::HasBytes;
    }
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? IdleState::Reusable : IdleState::Ended;
}

}

ConnectionPool::ConnectionPool(EndListener endListener)
    : m_endListener(std::move(endListener))
{
}

ConnectionPool::~ConnectionPool() = default;

std::unique_ptr<ClientConnection> ConnectionPool::take(const Endpoint &endpoint)
{
    const auto found = m_idle.find(endpoint.text());
    if (found == m_idle.end()) {
        return nullptr;
    }
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<ClientConnection>> &idle = found->second;
    bool ended = false;
    while (!idle.empty()) {
        std::unique_ptr<ClientConnection> candidate = std::move(idle.back());
        idle.pop_back();
        const IdleState state = stateOf(*candidate);
        if (state == IdleState::Reusable && candidate->idleUntil > now) {
            return candidate;
        }
        ended = ended || state == IdleState::Ended;
    }
    if (ended && m_endListener) {
        m_endListener(found->first);
    }
    return nullptr;
}

void ConnectionPool::keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection, std::optional<std::chrono::milliseconds> idleTimeout)
{
    const std::chrono::milliseconds keepTime = idleTimeout.value_or(DefaultIdleTimeout) - IdleMargin;
    if (keepTime <= std::chrono::milliseconds::zero()) {
        return;
    }
    connection->stream.expires_never();
    connection->idleUntil = std::chrono::steady_clock::now() + keepTime;
    m_idle[endpoint.text()].push_back(std::move(connection));
}

void ConnectionPool::keepUnused(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection)
{
    if (!connection->idleUntil) {
        keep(endpoint, std::move(connection), std::nullopt);
        return;
    }
    connection->stream.expires_never();
    m_idle[endpoint.text()].push_back(std::move(connection));
}

void ConnectionPool::drop(const Endpoint &endpoint)
{
    m_idle.erase(endpoint.text());
}

bool ConnectionPool::hasOpen(const Endpoint &endpoint) const
{
    const auto found = m_idle.find(endpoint.text());
    return found != m_idle.end()
        && std::ranges::any_of(found->second, [](const std::unique_ptr<ClientConnection> &idle) { return stateOf(*idle) == IdleState::Reusable; });
}

void ConnectionPool::closeExpired()
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        bool ended = false;
        std::erase_if(entry->second, [now, &ended](const std::unique_ptr<ClientConnection> &idle) {
            const bool expired = idle->idleUntil <= now;
            ended = ended || (expired && stateOf(*idle) == IdleState::Ended);
            return expired;
        });
        if (ended && entry->second.empty() && m_endListener) {
            m_endListener(entry->first);
        }
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
