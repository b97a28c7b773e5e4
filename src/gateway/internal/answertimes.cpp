#include "gateway/internal/answertimes.h"

namespace rosemaryshift::gateway {

namespace {

/// Weights of a new answer in the moving averages: those that TCP uses for its round-trip times (RFC 6298).
constexpr int MeanDivisor = 8;
constexpr int DeviationDivisor = 4;
/// Number of mean deviations above the mean within which most requests are answered.
constexpr int Deviations = 2;

}

void AnswerTimes::note(const std::string &service, routing::RequestKind kind, Duration time)
{
    const auto [entry, isFirst] = m_estimates.try_emplace({service, kind}, Estimate{time, time / 2});
    if (isFirst) {
        return;
    }
    Estimate &estimate = entry->second;
    const Duration error = time - estimate.mean;
    estimate.deviation += (std::chrono::abs(error) - estimate.deviation) / DeviationDivisor;
    estimate.mean += error / MeanDivisor;
}

Duration AnswerTimes::expected(const std::string &service, routing::RequestKind kind) const
{
    const auto found = m_estimates.find({service, kind});
    return found == m_estimates.end() ? Duration::zero() : found->second.mean + Deviations * found->second.deviation;
}

}
