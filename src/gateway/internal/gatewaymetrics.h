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
    /// Sets the gauge @p name.
    void set(std::string_view name, std::string_view labels, double value);
    /// All series in Prometheus' text format 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    /// Upper bounds of the histogram buckets in milliseconds.
    static constexpr std::array<std::uint32_t, 12> BucketBounds{5, 10, 25, 50, 100, 250, 500, 1'000, 2'500, 5'000, 10'000, 20'000};

    struct Histogram {
        std::array<std::uint64_t, BucketBounds.size()> buckets{};
        std::uint64_t count = 0;
        double sumSeconds = 0;
    };
    template <typename Value>
    using Series = std::map<std::string, std::map<std::string, Value, std::less<>>, std::less<>>;

    Series<std::uint64_t> m_counters;
    Series<double> m_gauges;
    Series<Histogram> m_histograms;
};

}
