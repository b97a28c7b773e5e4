#pragma once

#include "base/types.h"
#include "settings/settingsdocument.h"

#include <string>
#include <vector>

namespace rosemaryshift::measure {

/// Identical upstreams, the same number in each availability zone.
struct UpstreamGroup {
    std::string name;
    std::uint32_t perZone = 1;
    bool service = false;           ///< A plain service instead of a model server.
    std::uint32_t slots = 1;        ///< Largest number of requests in the batch.
    Duration perToken{0};           ///< Time between tokens of a request that is alone in the batch.
    double batchSlope = 0;          ///< Relative growth of perToken for each further request in the batch.
    double prefillWork = 0;         ///< Work of one prompt token, in units of one generated token.
    std::size_t cachedPrefixes = 0; ///< Capacity of the prefix cache.
    double price = 0;               ///< Of one upstream, per hour.
};

/// Requests of one traffic class.
struct ClassLoad {
    TrafficClass trafficClass = TrafficClass::Question;
    double share = 0; ///< Share of all arrivals.
    std::uint32_t promptTokens = 0;
    std::uint32_t prefixTokens = 0; ///< Part of the prompt that all requests of a workspace in this class share.
    double medianTokens = 1;        ///< Of the log-normal distribution of output lengths.
    double spread = 0;              ///< Standard deviation of the logarithm of the output length.
    Duration firstToken{0};         ///< Target time to the first token; zero when only the deadline counts.
    Duration deadline{0};           ///< Target time to the whole answer.
    bool idempotent = true;

    /// Whether requests of the class go to a plain service instead of a model server.
    [[nodiscard]] bool service() const;
    /// Mean output length in tokens.
    [[nodiscard]] double meanTokens() const;
};

/// Traffic share and limits of one workspace.
struct WorkspaceLoad {
    std::string name;
    double weight = 1;             ///< Arrivals relative to the other workspaces.
    std::uint32_t maxInFlight = 0; ///< Over the whole fleet.
    std::uint32_t maxQueued = 0;   ///< Over the whole fleet.
};

/// A fleet and its traffic, as read from a scenario file.
struct Scenario {
    std::string name;
    std::uint32_t zones = 1;
    std::uint32_t entryHosts = 1;
    Duration zoneDelay{0};   ///< One-way network delay between availability zones.
    Duration reportEvery{0}; ///< Interval of the load reports of each upstream.
    Duration reportLag{0};   ///< Delay of a load report on its way to the entry hosts.
    std::vector<UpstreamGroup> upstreams;
    std::vector<ClassLoad> classes;
    std::vector<WorkspaceLoad> workspaces;

    /// Arrivals per second, of all classes together, at which every model server just runs with a full batch.
    [[nodiscard]] double capacity() const;
};

/// Reads a scenario; errors are added to SettingsDocument::errors().
Scenario readScenario(SettingsDocument &document);

}
