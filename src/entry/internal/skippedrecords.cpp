#include "entry/internal/skippedrecords.h"

#include <spdlog/spdlog.h>

namespace rosemaryshift::entry {

using timeline::EventKind;

SkippedRecords::SkippedRecords(std::shared_ptr<timeline::ITimeline> timeline, std::shared_ptr<metrics::IMetrics> metrics)
    : m_timeline(std::move(timeline))
    , m_metrics(std::move(metrics))
{
}

void SkippedRecords::noteRecord(std::uint64_t offset)
{
    m_timeline->record(EventKind::RecordSkipped, {.detail = "log offset " + std::to_string(offset) + " cannot be read"});
    m_metrics->countSkippedRecords("log", 1);
    spdlog::warn("event=record_skipped source=log offset={}", offset);
}

void SkippedRecords::noteList(const platform::HostList &list)
{
    if (list.skipped == 0) {
        return;
    }
    m_timeline->record(EventKind::RecordSkipped,
                       {.detail = std::to_string(list.skipped) + " rows of the list of hosts, version " + std::to_string(list.version) + ", cannot be read"});
    m_metrics->countSkippedRecords("host_list", list.skipped);
    spdlog::warn("event=record_skipped source=host_list version={} rows={}", list.version, list.skipped);
}

}
