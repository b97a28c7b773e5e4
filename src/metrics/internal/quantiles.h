#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <array>

namespace rosemaryshift::metrics {

/// Count, sum and estimated quantiles of a stream of values in constant memory (P-square; Jain and Chlamtac, 1985).
/// Quantiles of a small number of values are exact. Not thread-safe.
class Quantiles
{
public:
    static constexpr std::array Probabilities{0.5, 0.95, 0.99};

    Quantiles();

    void add(double value);
    [[nodiscard]] std::size_t count() const;
    [[nodiscard]] double sum() const;
    /// Quantile at Probabilities[@p index]. Precondition: count() is positive.
    [[nodiscard]] double quantile(std::size_t index) const;

private:
    using Totals = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum>;
    using Exact = boost::accumulators::stats<boost::accumulators::tag::tail_quantile<boost::accumulators::right>>;
    using Estimate = boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>;

    boost::accumulators::accumulator_set<double, Totals> m_totals;
    boost::accumulators::accumulator_set<double, Exact> m_exact;
    std::array<boost::accumulators::accumulator_set<double, Estimate>, Probabilities.size()> m_estimates;
};

}
