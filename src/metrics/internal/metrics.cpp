#include "metrics/imetrics.h"

#include "base/text.h"
#include "metrics/internal/quantiles.h"

#include <map>
#include <mutex>
#include <set>
#include <tuple>

namespace rosemaryshift::metrics {

namespace {

constexpr const char *OtherLabel = "other";
constexpr std::array<std::string_view, Quantiles::Probabilities.size()> QuantileLabels{"0.5", "0.95", "0.99"};

using Series = std::tuple<std::string, TrafficClass>;
using CountsByLabel = std::map<std::string, std::uint64_t, std::less<>>;

/// Label value in double quotes, with quotes and backslashes escaped and line feeds replaced by spaces.
std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c == '\n' ? ' ' : c;
    }
    return result + "\"";
}

std::string typeLine(std::string_view metric, std::string_view type)
{
    return "# TYPE " + std::string(metric) + " " + std::string(type) + "\n";
}

std::string seriesLabels(const Series &series)
{
    return "workspace=" + quoted(std::get<0>(series)) + ",class=" + quoted(name(std::get<1>(series)));
}

void appendCounter(std::string &text, std::string_view metric, std::string_view label, const CountsByLabel &counts)
{
    text += typeLine(metric, "counter");
    for (const auto &[value, count] : counts) {
        text += std::string(metric) + "{" + std::string(label) + "=" + quoted(value) + "} " + std::to_string(count) + "\n";
    }
}

void appendSummary(std::string &text, std::string_view metric, const std::map<Series, Quantiles> &summaries)
{
    text += typeLine(metric, "summary");
    for (const auto &[series, quantiles] : summaries) {
        const std::string labels = seriesLabels(series);
        for (std::size_t i = 0; i < Quantiles::Probabilities.size(); ++i) {
            text += std::string(metric) + "{" + labels + ",quantile=" + quoted(QuantileLabels[i]) + "} " + std::to_string(quantiles.quantile(i)) + "\n";
        }
        text += std::string(metric) + "_sum{" + labels + "} " + std::to_string(quantiles.sum()) + "\n";
        text += std::string(metric) + "_count{" + labels + "} " + std::to_string(quantiles.count()) + "\n";
    }
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

class Metrics : public IMetrics
{
public:
    void countRequest(const RequestLabels &labels, RequestOutcome outcome, std::string_view code) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_requests[{seriesOf(labels), outcome}];
        if (outcome == RequestOutcome::Refused) {
            count(m_refusals, code, 1);
        }
    }

    void countAttempt(std::string_view outcome) override
    {
        const std::lock_guard lock(m_mutex);
        count(m_attempts, outcome, 1);
    }

    void countRecomputedTokens(std::uint64_t tokens) override
    {
        const std::lock_guard lock(m_mutex);
        m_recomputedTokens += tokens;
    }

    void countSkippedRecords(std::string_view source, std::uint64_t records) override
    {
        const std::lock_guard lock(m_mutex);
        count(m_skippedRecords, source, records);
    }

    void adjustQueuedRequests(const RequestLabels &labels, int change) override
    {
        const std::lock_guard lock(m_mutex);
        m_queued[seriesOf(labels)] += change;
    }

    void recordFirstTokenLatency(const RequestLabels &labels, Duration latency) override
    {
        const std::lock_guard lock(m_mutex);
        m_firstTokenLatencies[seriesOf(labels)].add(seconds(latency));
    }

    void recordTotalLatency(const RequestLabels &labels, Duration latency) override
    {
        const std::lock_guard lock(m_mutex);
        m_totalLatencies[seriesOf(labels)].add(seconds(latency));
    }

    [[nodiscard]] std::string text() const override
    {
        const std::lock_guard lock(m_mutex);
        std::string text = typeLine("rosemaryshift_requests_total", "counter");
        for (const auto &[key, count] : m_requests) {
            text += "rosemaryshift_requests_total{" + seriesLabels(key.first) + ",outcome=" + quoted(name(key.second)) + "} " + std::to_string(count) + "\n";
        }
        appendCounter(text, "rosemaryshift_refusals_total", "code", m_refusals);
        appendCounter(text, "rosemaryshift_attempts_total", "outcome", m_attempts);
        appendCounter(text, "rosemaryshift_skipped_records_total", "source", m_skippedRecords);
        text += typeLine("rosemaryshift_recomputed_tokens_total", "counter") + "rosemaryshift_recomputed_tokens_total " + std::to_string(m_recomputedTokens)
            + "\n";
        text += typeLine("rosemaryshift_queued_requests", "gauge");
        for (const auto &[series, queued] : m_queued) {
            text += "rosemaryshift_queued_requests{" + seriesLabels(series) + "} " + std::to_string(queued) + "\n";
        }
        appendSummary(text, "rosemaryshift_first_token_seconds", m_firstTokenLatencies);
        appendSummary(text, "rosemaryshift_total_seconds", m_totalLatencies);
        return text;
    }

private:
    Series seriesOf(const RequestLabels &labels)
    {
        const bool known = m_workspaces.contains(labels.workspace);
        if (!known && m_workspaces.size() >= MaxWorkspaces) {
            return {OtherLabel, labels.trafficClass};
        }
        m_workspaces.insert(labels.workspace);
        return {labels.workspace, labels.trafficClass};
    }

    static void count(CountsByLabel &counts, std::string_view label, std::uint64_t times)
    {
        const bool full = counts.size() >= MaxLabelValues && !counts.contains(label);
        counts[full ? OtherLabel : std::string(label)] += times;
    }

    mutable std::mutex m_mutex;
    std::set<std::string, std::less<>> m_workspaces;
    std::map<std::pair<Series, RequestOutcome>, std::uint64_t> m_requests;
    CountsByLabel m_refusals;
    CountsByLabel m_attempts;
    CountsByLabel m_skippedRecords;
    std::uint64_t m_recomputedTokens = 0;
    std::map<Series, std::int64_t> m_queued;
    std::map<Series, Quantiles> m_firstTokenLatencies;
    std::map<Series, Quantiles> m_totalLatencies;
};

}

std::string_view name(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Completed:
        return "completed";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::CallerGone:
        return "caller_gone";
    }
    return "unknown";
}

std::shared_ptr<IMetrics> makeMetrics()
{
    return std::make_shared<Metrics>();
}

}
