#pragma once

#include "routing/routingtypes.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rosemaryshift::routing {

/// A configuration with indexes for the lookups of each request. Immutable, hence thread-safe.
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    [[nodiscard]] const Configuration &configuration() const;
    /// Returns the route of @p host with the longest prefix of @p path; null when none matches. The host is compared without its port and
    /// regardless of case.
    [[nodiscard]] const Route *route(std::string_view host, std::string_view path) const;
    /// Returns the workspace with the API key @p key; null when there is none.
    [[nodiscard]] const Workspace *workspaceOfKey(std::string_view key) const;
    /// Returns the service named @p name; null when there is none.
    [[nodiscard]] const Service *service(std::string_view name) const;
    /// Whether @p service carries streams that may not be repeated and yield to more urgent streams of the service. Such a stream is lost for good when its
    /// upstream leaves, and waits where others need not, so that decisions which cost the fleet something pay off for it.
    [[nodiscard]] bool hasYieldingSingleAttempts(std::string_view service) const;
    /// Whether a request of @p route may not be repeated and yields to more urgent streams of @p service.
    [[nodiscard]] bool yields(const Route &route, std::string_view service) const;
    /// Chooses one of the route's services in proportion to their weights; @p choice is a uniform random number in [0, 1). Null when no service of
    /// the route has a weight above zero.
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
    TextMap<TextMap<const Route *>> m_routes; ///< By host in lower case, then by path prefix.
    TextMap<const Workspace *> m_keys;        ///< By API key.
    TextMap<const Service *> m_services;
    std::map<std::string, std::uint32_t, std::less<>> m_mostUrgentStreams; ///< Priority of the most urgent streams, by service.
    std::set<std::string, std::less<>> m_yieldingSingleAttempts;           ///< See hasYieldingSingleAttempts().
};

}
