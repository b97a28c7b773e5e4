#include "balancing/internal/latencymodel.h"

namespace rosemaryshift::balancing {

namespace {

using PrefillVector = LeastSquares<5>::Vector;

/// Weight of a sample relative to the next one.
constexpr double Forgetting = 0.995;
/// Largest error of a sample of which use is made, relative to the expected time. What takes longer has waited for something else.
constexpr double MaxRelativeError = 0.5;
/// Coefficients before any sample, in milliseconds: for a request, for a thousand uncached tokens, for a thousand such tokens after a thousand others, for
/// a thousand tokens that other hosts reported, and for a running request; and how far they may be expected to be off.
constexpr PrefillVector InitialPrefill{20, 12, 0.1, 6, 0.4};
constexpr PrefillVector PrefillDeviations{40, 20, 1, 10, 2};
/// The same for the time between two events: at an idle upstream, and for each running request.
constexpr std::array<double, 2> InitialGap{20, 0.5};
constexpr std::array<double, 2> GapDeviations{40, 2};
/// Samples of gaps before the estimate is used.
constexpr std::uint64_t MinGapSamples = 5;
/// Time from the first event to the end of a request before any was measured, in milliseconds.
constexpr double InitialRemainder = 1'000;
/// Weight of a new sample of it in the moving average.
constexpr double RemainderWeight = 0.05;
/// Least expected time, in milliseconds.
constexpr double MinTime = 1;

double thousands(std::uint64_t tokens)
{
    return static_cast<double>(tokens) / 1'000;
}

PrefillVector prefillInputs(const PrefillWork &work)
{
    const double uncached = thousands(work.uncachedTokens);
    // The tokens before an uncached one are the cached ones and, in the mean, half of the uncached ones.
    const double before = std::max(0.0, thousands(work.promptTokens) - uncached / 2);
    return {1, uncached + thousands(work.aheadTokens), uncached * before, thousands(work.reportedTokens), static_cast<double>(work.running)};
}

template <std::size_t N>
void addRelative(LeastSquares<N> &model, typename LeastSquares<N>::Vector inputs, double took)
{
    const double expected = std::max(MinTime, model.value(inputs));
    for (double &input : inputs) {
        input /= expected;
    }
    model.add(inputs, took / expected, MaxRelativeError);
}

}

LatencyModel::LatencyModel()
    : m_firstEvent(InitialPrefill, PrefillDeviations, Forgetting)
    , m_gap(InitialGap, GapDeviations, Forgetting)
    , m_remainder(InitialRemainder)
{
}

double LatencyModel::firstEvent(const PrefillWork &work) const
{
    return std::max(MinTime, m_firstEvent.value(prefillInputs(work)));
}

double LatencyModel::ownPrefill(const PrefillWork &work) const
{
    PrefillVector own = prefillInputs({work.promptTokens, work.uncachedTokens, 0, 0, 0});
    own[0] = 0;
    return m_firstEvent.value(own);
}

void LatencyModel::addFirstEvent(const PrefillWork &work, double took)
{
    addRelative(m_firstEvent, prefillInputs(work), took);
}

double LatencyModel::gap(std::uint32_t running) const
{
    return std::max(MinTime, m_gap.value({1, static_cast<double>(running)}));
}

bool LatencyModel::hasGaps() const
{
    return m_gapSamples >= MinGapSamples;
}

void LatencyModel::addGap(std::uint32_t running, double mean)
{
    addRelative(m_gap, {1, static_cast<double>(running)}, mean);
    ++m_gapSamples;
}

double LatencyModel::remainder() const
{
    return m_remainder;
}

void LatencyModel::addRemainder(double took)
{
    m_remainder += RemainderWeight * (took - m_remainder);
}

}
