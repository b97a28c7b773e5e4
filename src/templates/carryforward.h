#pragma once

#include "base/types.h"
#include "templates/itemplatefold.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::templates {

/// Range of log offsets whose records the log still retains.
struct LogWindow {
    std::uint64_t oldest = 0; ///< Offset of the oldest retained record.
    std::uint64_t next = 0;   ///< Offset after the newest record read.
};

struct CarryForwardSettings {
    Duration maxAge = std::chrono::minutes(10);             ///< Age of a template's newest record at which it is appended again.
    Duration delayPerHost = std::chrono::milliseconds(200); ///< Appends of all hosts are spread over this time multiplied by the number of hosts.
};

/// Decides when this host appends the template of a workspace to the log again, so that log retention never drops the last
/// record that contains it. Each host waits for a delay derived from a hash of its name and the workspace; once one host has
/// appended, the others need not. Appending the same revision twice is harmless. Not thread-safe.
class CarryForward
{
public:
    CarryForward(const CarryForwardSettings &settings, std::string host);

    /// Notes that the record at @p offset contains the revision of @p workspace in force.
    void noteStated(std::string_view workspace, std::uint64_t offset, TimePoint now);
    /// Returns the workspaces of @p fold whose templates to append now and schedules a retry for each. @p hosts is the number of entry hosts.
    std::vector<std::string> due(const ITemplateFold &fold, const LogWindow &window, std::size_t hosts, TimePoint now);

private:
    /// The newest record of one workspace's template, and the next append.
    struct WorkspaceState {
        bool stated = false;      ///< A record with the revision in force was read from the log.
        std::uint64_t offset = 0; ///< Log offset of that record.
        TimePoint statedAt;       ///< When that record was noted.
        bool scheduled = false;
        TimePoint appendAt;
    };

    [[nodiscard]] bool needsAppend(const WorkspaceState &state, const LogWindow &window, TimePoint now) const;
    [[nodiscard]] Duration delay(std::string_view workspace, std::size_t hosts) const;

    const CarryForwardSettings m_settings;
    const std::string m_host;
    std::map<std::string, WorkspaceState, std::less<>> m_states;
};

}
