#pragma once

#include "http/httptypes.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::http {

struct ClientConnection;

/// Pool of idle client connections for reuse by later exchanges. Not thread-safe.
class ConnectionPool
{
public:
    /// Called with the text of an endpoint when its last idle connections are found to have been ended by the other side.
    using EndListener = std::function<void(std::string_view endpoint)>;

    explicit ConnectionPool(EndListener endListener = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Removes and returns the most recently used connection to @p endpoint that is still open and has no unread bytes; null when
    /// there is none. Calls the listener when the other side has ended all that there were.
    std::unique_ptr<ClientConnection> take(const Endpoint &endpoint);
    /// Adds @p connection to the pool until shortly before @p idleTimeout, the server's own limit; a default of 4 s applies without one.
    void keep(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection, std::optional<std::chrono::milliseconds> idleTimeout);
    /// Adds @p connection, on which nothing was sent since it was opened or taken from the pool.
    void keepUnused(const Endpoint &endpoint, std::unique_ptr<ClientConnection> connection);
    /// Closes all idle connections to @p endpoint.
    void drop(const Endpoint &endpoint);
    /// Whether an idle connection to @p endpoint is still open, so that the process that it was opened to still runs.
    [[nodiscard]] bool hasOpen(const Endpoint &endpoint) const;
    /// Closes connections that have been idle for too long. Calls the listener when the other side has ended the last ones to an endpoint before.
    void closeExpired();
    /// Number of idle connections.
    [[nodiscard]] std::size_t size() const;

private:
    const EndListener m_endListener;
    std::map<std::string, std::vector<std::unique_ptr<ClientConnection>>> m_idle; ///< By the text of the endpoint, least recently used first.
};

}
