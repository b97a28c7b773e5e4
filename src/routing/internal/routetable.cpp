#include "routing/routetable.h"

#include <algorithm>
#include <cctype>
#include <span>

namespace rosemaryshift::routing {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}

/// Calls @p visit with each route of streams and each service that has traffic on it.
template <typename Visitor>
void forEachStream(std::span<const std::shared_ptr<const Route>> routes, Visitor visit)
{
    for (const std::shared_ptr<const Route> &route : routes) {
        for (const WeightedService &service : route->services) {
            if (route->kind == RequestKind::Streaming && service.weight > 0) {
                visit(*route, service.service);
            }
        }
    }
}

}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const std::shared_ptr<const Route> &route : m_configuration.routes) {
        m_routes[lowerCase(route->host)].emplace(route->pathPrefix, route.get());
    }
    for (const Workspace &workspace : m_configuration.workspaces) {
        for (const std::string &key : workspace.keys) {
            m_keys.emplace(key, &workspace);
        }
    }
    for (const Service &service : m_configuration.services) {
        m_services.emplace(service.name, &service);
    }
    forEachStream(m_configuration.routes, [this](const Route &route, const std::string &service) {
        const auto [known, isNew] = m_mostUrgentStreams.try_emplace(service, route.priority);
        known->second = std::min(known->second, route.priority);
    });
    forEachStream(m_configuration.routes, [this](const Route &route, const std::string &service) {
        if (yields(route, service)) {
            m_yieldingSingleAttempts.insert(service);
        }
    });
}

const Configuration &RouteTable::configuration() const
{
    return m_configuration;
}

const Route *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_routes.find(lowerCase(host.substr(0, host.find(':'))));
    if (ofHost == m_routes.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so only the parts of the path up to one of its slashes can match.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const auto found = ofHost->second.find(path.substr(0, slash + 1));
        if (found != ofHost->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const Workspace *RouteTable::workspaceOfKey(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

bool RouteTable::hasYieldingSingleAttempts(std::string_view service) const
{
    return m_yieldingSingleAttempts.contains(service);
}

bool RouteTable::yields(const Route &route, std::string_view service) const
{
    const auto mostUrgent = m_mostUrgentStreams.find(service);
    return route.kind == RequestKind::Streaming && !route.repeatable() && mostUrgent != m_mostUrgentStreams.end() && route.priority > mostUrgent->second;
}

const WeightedService *RouteTable::chooseService(const Route &route, double choice)
{
    std::uint64_t total = 0;
    for (const WeightedService &service : route.services) {
        total += service.weight;
    }
    double left = choice * static_cast<double>(total);
    for (const WeightedService &service : route.services) {
        left -= service.weight;
        if (left < 0 && service.weight > 0) {
            return &service;
        }
    }
    return nullptr;
}

}
