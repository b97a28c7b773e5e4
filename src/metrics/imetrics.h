#pragma once

#include "metrics/metricstypes.h"

#include <memory>
#include <string>
#include <string_view>

namespace rosemaryshift::metrics {

/// Counts and latencies of one host, bounded in number: workspaces beyond MaxWorkspaces are counted together as "other".
/// Thread-safe.
class IMetrics
{
public:
    virtual ~IMetrics() = default;

    /// Counts a request that ended; @p code is the refusal's stable code and counted when @p outcome is Refused.
    virtual void countRequest(const RequestLabels &labels, RequestOutcome outcome, std::string_view code) = 0;
    /// Counts an attempt that ended at an upstream, by its outcome's stable name.
    virtual void countAttempt(std::string_view outcome) = 0;
    /// Counts prompt and answer tokens that an attempt has to compute again.
    virtual void countRecomputedTokens(std::uint64_t tokens) = 0;
    /// Counts records that could not be read, by where they came from.
    virtual void countSkippedRecords(std::string_view source, std::uint64_t records) = 0;
    /// Takes @p change to the number of requests that wait for a slot.
    virtual void adjustQueuedRequests(const RequestLabels &labels, int change) = 0;
    /// Notes the time from arrival to the first token.
    virtual void recordFirstTokenLatency(const RequestLabels &labels, Duration latency) = 0;
    /// Notes the time from arrival to the whole answer.
    virtual void recordTotalLatency(const RequestLabels &labels, Duration latency) = 0;
    /// All series in Prometheus' text format 0.0.4.
    [[nodiscard]] virtual std::string text() const = 0;
};

/// Workspaces that have series of their own.
constexpr std::size_t MaxWorkspaces = 64;
/// Different refusal codes and attempt outcomes that have series of their own.
constexpr std::size_t MaxNames = 32;

std::shared_ptr<IMetrics> makeMetrics();

}
