#pragma once

#include "metrics/imetrics.h"
#include "platform/platformtypes.h"
#include "timeline/itimeline.h"

#include <memory>

namespace rosemaryshift::entry {

/// Counts and shows what came from the platform and could not be read. Used from the control thread only.
class SkippedRecords
{
public:
    SkippedRecords(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics);

    /// A record of the log was left out.
    void noteRecord(std::uint64_t offset);
    /// Takes in a version of the list of hosts, with the number of rows that were left out.
    void noteList(const platform::HostList &list);

private:
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
};

}
