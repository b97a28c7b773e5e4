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

/// Names of the services of @p routes with streams that may not be repeated and are less urgent than other streams of the same service.
std::set<std::string, std::less<>> servicesWithYieldingSingleAttempts(std::span<const Route> routes)
{
    std::map<std::string, std::uint32_t> mostUrgent;
    const auto forEachStream = [&routes](auto visit) {
        for (const Route &route : routes) {
            for (const WeightedService &service : route.services) {
                if (route.kind == RequestKind::Streaming && service.weight > 0) {
                    visit(route, service.service);
                }
            }
        }
    };
    forEachStream([&mostUrgent](const Route &route, const std::string &service) {
        const auto [known, isNew] = mostUrgent.try_emplace(service, route.priority);
        known->second = std::min(known->second, route.priority);
    });
    std::set<std::string, std::less<>> services;
    forEachStream([&mostUrgent, &services](const Route &route, const std::string &service) {
        if (!route.repeatable() && route.priority > mostUrgent.at(service)) {
            services.insert(service);
        }
    });
    return services;
}

}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes) {
        m_routes[lowerCase(route.host)].emplace(route.pathPrefix, &route);
    }
    for (const Workspace &workspace : m_configuration.workspaces) {
        for (const std::string &key : workspace.keys) {
            m_keys.emplace(key, &workspace);
        }
    }
    for (const Service &service : m_configuration.services) {
        m_services.emplace(service.name, &service);
    }
    m_yieldingSingleAttempts = servicesWithYieldingSingleAttempts(m_configuration.routes);
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
