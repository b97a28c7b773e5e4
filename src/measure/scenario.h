#pragma once

#include "base/types.h"
#include "settings/settingsdocument.h"

#include <string>
#include <vector>

namespace rosemaryshift::measure {

/// Upstreams of one machine class, the same number in each availability zone.
struct UpstreamGroup {
    std::string name;
    std::uint32_t perZone = 1;
    bool service = false;    ///< A plain service instead of a model server.
    std::uint32_t slots = 1; ///< Requests in one batch.
    Duration perToken{0};    ///< Between tokens of a request that is alone in the batch.
    double batchSlope = 0;   ///< Growth of that time for each further request in the batch.
    double prefillWork = 0;  ///< Work of one prompt token, in generated tokens.
    std::size_t cachedPrefixes = 0;
    double price = 0; ///< Per hour.
};

/// Requests of one traffic class.
struct ClassLoad {
    TrafficClass trafficClass = TrafficClass::Question;
    double share = 0; ///< Of all arrivals.
    std::uint32_t promptTokens = 0;
    std::uint32_t prefixTokens = 0; ///< Of the prompt, the same for all requests of a workspace.
    double medianTokens = 1;
    double spread = 0;      ///< Standard deviation of the logarithm of the length.
    Duration firstToken{0}; ///< Target; zero when only the deadline counts.
    Duration deadline{0};
    bool idempotent = true;

    [[nodiscard]] bool service() const;
    /// Expected length in tokens.
    [[nodiscard]] double meanTokens() const;
};

struct WorkspaceLoad {
    std::string name;
    double weight = 1;
    std::uint32_t maxInFlight = 0; ///< Over the whole fleet.
    std::uint32_t maxQueued = 0;   ///< Over the whole fleet.
};

/// A firm's fleet and its traffic.
struct Scenario {
    std::string name;
    std::uint32_t zones = 1;
    std::uint32_t entryHosts = 1;
    Duration zoneDelay{0}; ///< One way between availability zones.
    Duration reportEvery{0};
    Duration reportLag{0};
    std::vector<UpstreamGroup> upstreams;
    std::vector<ClassLoad> classes;
    std::vector<WorkspaceLoad> workspaces;

    /// Arrivals a second, of all classes, that keep every model server's batch full.
    [[nodiscard]] double capacity() const;
};

/// Reads a scenario; faults are noted in the document.
Scenario readScenario(SettingsDocument &document);

}
