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

/// Idle connections to servers, kept for the next exchange. Not thread-safe.
class ConnectionPool
{
public:
    ConnectionPool();
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// The connection to @p endpoint that was used last, if one is still open and silent; nothing otherwise.
    std::unique_ptr<ClientConnection> take(const Endpoint &endpoint);
    /// Keeps @p connection until shortly before @p idleTimeout, the server's own limit; without one for a short default.
    void keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection, std::optional<std::chrono::milliseconds> idleTimeout);
    /// Closes all idle connections to @p endpoint.
    void drop(const Endpoint &endpoint);
    /// Closes connections that have been idle for too long.
    void closeExpired();
    /// Number of idle connections.
    [[nodiscard]] std::size_t size() const;

private:
    struct Idle;
    std::map<std::string, std::vector<Idle>> m_idle;
};

}
