#pragma once

#include "routing/routingtypes.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace rosemaryshift::routing {

/// A configuration with indexes for what each request asks of it. Immutable, so thread-safe.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    [[nodiscard]] const Configuration &configuration() const;
    /// The route of @p host whose prefix is the longest that begins @p path; null when none does. A port behind the host is ignored.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;
    /// The workspace that holds @p key; null when none does.
    [[nodiscard]] const Workspace *workspaceOfKey(std::string_view key) const;
    /// The service of that name; null when there is none.
    [[nodiscard]] const Service *service(std::string_view name) const;
    /// One of the route's services, by weight; @p choice is uniform in [0, 1). Null when the route names none.
    [[nodiscard]] static const WeightedService *chooseService(const Route &route, double choice);

private:
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    template <typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    Configuration m_configuration;
    TextMap<TextMap<const Route *>> m_routes; ///< By host, then by prefix.
    TextMap<const Workspace *> m_keys;
    TextMap<const Service *> m_services;
};

}
