#pragma once

#include "metrics/imetrics.h"
#include "platform/platformtypes.h"
#include "timeline/itimeline.h"

#include <memory>

namespace rosemaryshift::entry {

/// Reports data from the platform that could not be parsed. Must be used on the control thread.
class SkippedRecords
{
public:
    SkippedRecords(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics);

    /// Reports that the log record at @p offset was skipped.
    void noteRecord(std::uint64_t offset);
    /// Reports the rows of @p list that were skipped, if any.
    void noteList(const platform::HostList &list);

private:
    const std::shared_ptr<timeline::ITimeline> m_timeline;
    const std::shared_ptr<metrics::IMetrics> m_metrics;
};

}
