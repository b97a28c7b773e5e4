#include "metrics/internal/quantiles.h"

namespace rosemaryshift::metrics {

namespace acc = boost::accumulators;

namespace {

/// Number of values up to which all of them are kept and quantiles are exact; the P-square estimates need more than 5 values.
constexpr std::size_t MaxExactValues = 64;

using EstimateSet = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

EstimateSet estimateOf(double probability)
{
    return EstimateSet(acc::quantile_probability = probability);
}

}

Quantiles::Quantiles()
    : m_exact(acc::right_tail_cache_size = MaxExactValues)
    , m_estimates{estimateOf(Probabilities[0]), estimateOf(Probabilities[1]), estimateOf(Probabilities[2])}
{
}

void Quantiles::add(double value)
{
    m_totals(value);
    m_exact(value);
    for (EstimateSet &estimate : m_estimates) {
        estimate(value);
    }
}

std::size_t Quantiles::count() const
{
    return acc::count(m_totals);
}

double Quantiles::sum() const
{
    return acc::sum(m_totals);
}

double Quantiles::quantile(std::size_t index) const
{
    if (count() <= MaxExactValues) {
        return acc::quantile(m_exact, acc::quantile_probability = Probabilities[index]);
    }
    return acc::p_square_quantile(m_estimates[index]);
}

}
