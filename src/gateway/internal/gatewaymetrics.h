#pragma once

#include "base/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace rosemaryshift::gateway {

/// Counters, gauges and latency histograms of one gateway. The number of label sets is bounded, whatever callers send. Not thread-safe.
class GatewayMetrics
{
public:
    /// Adds @p amount to the counter @p name with @p labels, such as kind="streaming",outcome="refused". Label values must come from a bounded set.
    void count(std::string_view name, std::string_view labels, std::uint64_t amount = 1);
    /// Adds @p latency to the histogram @p name, whose unit is the second.
    void observe(std::string_view name, std::string_view labels, Duration latency);
    /// Adds @p ratio to the histogram @p name, whose values have no unit.
    void observeRatio(std::string_view name, std::string_view labels, double ratio);
    /// Sets the gauge @p name.
    void set(std::string_view name, std::string_view labels, double value);
    /// All series in Prometheus' text format 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    /// Upper bounds of the buckets of latencies, in seconds, and of ratios.
    static constexpr std::array<double, 12> LatencyBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20};
    static constexpr std::array<double, 12> RatioBounds{0.1, 0.25, 0.4, 0.55, 0.7, 0.85, 1, 1.2, 1.4, 2, 2.5, 6};

    struct Histogram {
        std::array<double, LatencyBounds.size()> bounds{};
        std::array<std::uint64_t, LatencyBounds.size()> buckets{};
        std::uint64_t count = 0;
        double sum = 0;

        void add(double value);
    };
    template <typename Value>
    using Series = std::map<std::string, std::map<std::string, Value, std::less<>>, std::less<>>;

    Series<std::uint64_t> m_counters;
    Series<double> m_gauges;
    Series<Histogram> m_histograms;
};

}
