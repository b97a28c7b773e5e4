#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemaryshift::directory {

/// Tracks of which services this host reaches no upstream at all, as when it is partitioned from them. One upstream that is down or silent does not
/// count: an answer of any other upstream of the service shows that the host reaches it. Not thread-safe.
class UpstreamReach
{
public:
    /// Called with a service when this host no longer reaches it, and when it does again.
    using Listener = std::function<void(const std::string &service, bool reached)>;

    explicit UpstreamReach(Listener listener);

    /// Notes that an upstream of @p service answered, or that a connection to one was opened.
    void noteReached(const std::string &service);
    /// Notes that no connection to @p instance could be opened, or that it sent nothing within the timeout. @p upstreams: number of upstreams of the
    /// service that requests may be sent to.
    void noteUnreached(const std::string &service, const std::string &instance, std::size_t upstreams);
    /// Whether this host reaches @p service, as far as it knows.
    [[nodiscard]] bool reaches(const std::string &service) const;
    /// The services that this host does not reach.
    [[nodiscard]] std::vector<std::string> unreachedServices() const;

private:
    struct Service {
        std::set<std::string> unreached; ///< Upstreams that were not reached since the last answer of any of them.
        bool reached = true;
    };

    const Listener m_listener;
    std::map<std::string, Service> m_services;
};

}
