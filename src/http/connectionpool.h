#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::http {

struct ClientConnection;

/// Pool of idle client connections for reuse by later exchanges. Not thread-safe.
class ConnectionPool
{
public:
    ConnectionPool();
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Removes and returns the most recently used connection to @p endpoint that is still open and has no unread bytes; null when
    /// there is none.
    std::unique_ptr<ClientConnection> take(const Endpoint &endpoint);
    /// Adds @p connection to the pool until shortly before @p idleTimeout, the server's own limit; a default of 4 s applies without one.
    void keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection, std::optional<std::chrono::milliseconds> idleTimeout);
    /// Adds @p connection, on which nothing was sent since it was opened or taken from the pool.
    void keepUnused(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection);
    /// Closes all idle connections to @p endpoint.
    void drop(const Endpoint &endpoint);
    /// Whether an idle connection to @p endpoint is still open, so that the process that it was opened to still runs.
    [[nodiscard]] bool hasOpen(const Endpoint &endpoint) const;
    /// Closes connections that have been idle for too long.
    void closeExpired();
    /// Number of idle connections.
    [[nodiscard]] std::size_t size() const;

private:
    std::map<std::string, std::vector<std::unique_ptr<ClientConnection>>> m_idle; ///< By the text of the endpoint, least recently used first.
};

}
