#pragma once

#include "base/types.h"
#include "templates/itemplatefold.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::templates {

/// Records of the log that are still kept.
struct LogWindow {
    std::uint64_t oldest = 0; ///< Offset of the oldest record kept.
    std::uint64_t next = 0;   ///< Offset behind the newest record read.
};

struct CarryForwardSettings {
    Duration maxAge = std::chrono::minutes(10);             ///< Age at which a template's newest record is appended again.
    Duration delayPerHost = std::chrono::milliseconds(200); ///< Hosts spread their appends over this time for each of them.
};

/// Decides when this host appends a workspace's template again, so that the log's retention never drops the last record
/// that states it. Hosts wait for delays that differ by a hash of host and workspace; the first one to append spares the
/// others the work. Two hosts that append the same revision do no harm. Not thread-safe.
class CarryForward
{
public:
    CarryForward(const CarryForwardSettings &settings, std::string host);

    /// Notes that the record at @p offset states the revision of @p workspace in force.
    void noteStated(std::string_view workspace, std::uint64_t offset, TimePoint now);
    /// Workspaces of @p fold to append now; each is due again after another delay. @p hosts is the number of entry hosts.
    std::vector<std::string> due(const ITemplateFold &fold, const LogWindow &window, std::size_t hosts, TimePoint now);

private:
    struct Row {
        bool stated = false;      ///< A record with the revision in force was read.
        std::uint64_t offset = 0; ///< Of that record.
        TimePoint since;
        bool scheduled = false;
        TimePoint appendAt;
    };

    [[nodiscard]] bool needed(const Row &row, const LogWindow &window, TimePoint now) const;
    [[nodiscard]] Duration delay(std::string_view workspace, std::size_t hosts) const;

    const CarryForwardSettings m_settings;
    const std::string m_host;
    std::map<std::string, Row, std::less<>> m_rows;
};

}
