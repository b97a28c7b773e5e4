#include "directory/upstreamreach.h"

#include <algorithm>

namespace rosemaryshift::directory {

namespace {

/// Number of upstreams in a row that must fail for their service to count as unreached; all of them if it has fewer.
constexpr std::size_t UnreachedUpstreams = 3;

}

UpstreamReach::UpstreamReach(Listener listener)
    : m_listener(std::move(listener))
{
}

void UpstreamReach::noteReached(const std::string &service)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return;
    }
    const bool wasReached = found->second.reached;
    m_services.erase(found);
    if (!wasReached) {
        m_listener(service, true);
    }
}

void UpstreamReach::noteUnreached(const std::string &service, const std::string &instance, std::size_t upstreams)
{
    Service &state = m_services[service];
    state.unreached.insert(instance);
    const std::size_t needed = std::clamp<std::size_t>(upstreams, 1, UnreachedUpstreams);
    if (state.reached && state.unreached.size() >= needed) {
        state.reached = false;
        m_listener(service, false);
    }
}

bool UpstreamReach::reaches(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() || found->second.reached;
}

std::vector<std::string> UpstreamReach::unreachedServices() const
{
    std::vector<std::string> services;
    for (const auto &[service, state] : m_services) {
        if (!state.reached) {
            services.push_back(service);
        }
    }
    return services;
}

}
