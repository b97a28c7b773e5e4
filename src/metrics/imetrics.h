#pragma once

#include "metrics/metricstypes.h"

#include <memory>
#include <string>
#include <string_view>

namespace rosemaryshift::metrics {

/// Counters, gauges and latency summaries of one host. The number of series is bounded: workspaces beyond MaxWorkspaces are
/// counted together as "other". Thread-safe.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    /// Counts a request that ended; @p code is the stable code of a refusal and is counted only when @p outcome is Refused.
    virtual void countRequest(const RequestLabels &labels, RequestOutcome outcome, std::string_view code) = 0;
    /// Counts an attempt that ended at an upstream; @p outcome is the stable name of its outcome.
    virtual void countAttempt(std::string_view outcome) = 0;
    /// Counts prompt and answer tokens that an attempt has to compute again.
    virtual void countRecomputedTokens(std::uint64_t tokens) = 0;
    /// Adds @p records to the number of malformed records skipped from @p source.
    virtual void countSkippedRecords(std::string_view source, std::uint64_t records) = 0;
    /// Adds @p change, which may be negative, to the number of requests that wait for a slot.
    virtual void adjustQueuedRequests(const RequestLabels &labels, int change) = 0;
    /// Records the time from a request's arrival to its first token.
    virtual void recordFirstTokenLatency(const RequestLabels &labels, Duration latency) = 0;
    /// Records the time from a request's arrival to the end of its answer.
    virtual void recordTotalLatency(const RequestLabels &labels, Duration latency) = 0;
    /// All series in the Prometheus text exposition format 0.0.4.
    [[nodiscard]] virtual std::string text() const = 0;
};

/// Number of workspaces that have series of their own; further ones are counted as "other".
constexpr std::size_t MaxWorkspaces = 64;
/// Number of label values (refusal codes, attempt outcomes, record sources) that have a series of their own in each metric;
/// further ones are counted as "other".
constexpr std::size_t MaxLabelValues = 32;

std::shared_ptr<IMetrics> makeMetrics();

}
