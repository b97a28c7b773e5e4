#include "gateway/internal/gatewaymetrics.h"

#include <spdlog/fmt/fmt.h>

namespace rosemaryshift::gateway {

namespace {

/// Maximum number of label sets of one metric; further ones share the series OtherLabels.
constexpr std::size_t MaxLabelSets = 128;
constexpr std::string_view OtherLabels = R"(other="true")";

template <typename Value, typename SeriesMap>
Value &seriesOf(SeriesMap &series, std::string_view name, std::string_view labels)
{
    auto metric = series.find(name);
    if (metric == series.end()) {
        metric = series.emplace(std::string(name), typename SeriesMap::mapped_type()).first;
    }
    const auto found = metric->second.find(labels);
    if (found != metric->second.end()) {
        return found->second;
    }
    return metric->second[std::string(metric->second.size() < MaxLabelSets ? labels : OtherLabels)];
}

std::string inBraces(std::string_view labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

}

void GatewayMetrics::count(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    seriesOf<std::uint64_t>(m_counters, name, labels) += amount;
}

void GatewayMetrics::observe(std::string_view name, std::string_view labels, Duration latency)
{
    Histogram &histogram = seriesOf<Histogram>(m_histograms, name, labels);
    histogram.bounds = LatencyBounds;
    histogram.add(std::chrono::duration<double>(latency).count());
}

void GatewayMetrics::observeRatio(std::string_view name, std::string_view labels, double ratio)
{
    Histogram &histogram = seriesOf<Histogram>(m_histograms, name, labels);
    histogram.bounds = RatioBounds;
    histogram.add(ratio);
}

void GatewayMetrics::Histogram::add(double value)
{
    for (std::size_t bucket = 0; bucket < bounds.size(); ++bucket) {
        buckets[bucket] += value <= bounds[bucket] ? 1 : 0;
    }
    ++count;
    sum += value;
}

void GatewayMetrics::set(std::string_view name, std::string_view labels, double value)
{
    seriesOf<double>(m_gauges, name, labels) = value;
}

std::string GatewayMetrics::text() const
{
    std::string text;
    for (const auto &[name, series] : m_counters) {
        text += fmt::format("# TYPE {} counter\n", name);
        for (const auto &[labels, value] : series) {
            text += fmt::format("{}{} {}\n", name, inBraces(labels), value);
        }
    }
    for (const auto &[name, series] : m_gauges) {
        text += fmt::format("# TYPE {} gauge\n", name);
        for (const auto &[labels, value] : series) {
            text += fmt::format("{}{} {:.6g}\n", name, inBraces(labels), value);
        }
    }
    for (const auto &[name, series] : m_histograms) {
        text += fmt::format("# TYPE {} histogram\n", name);
        for (const auto &[labels, histogram] : series) {
            const std::string prefix = labels.empty() ? std::string() : labels + ",";
            for (std::size_t bucket = 0; bucket < histogram.bounds.size(); ++bucket) {
                text += fmt::format("{}_bucket{{{}le=\"{}\"}} {}\n", name, prefix, histogram.bounds[bucket], histogram.buckets[bucket]);
            }
            text += fmt::format("{}_bucket{{{}le=\"+Inf\"}} {}\n", name, prefix, histogram.count);
            text += fmt::format("{}_sum{} {:.6f}\n{}_count{} {}\n", name, inBraces(labels), histogram.sum, name, inBraces(labels), histogram.count);
        }
    }
    return text;
}

}
