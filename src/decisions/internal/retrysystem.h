#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"

#include <random>

namespace rosemaryshift::decisions {

/// Handles ended attempts: completes requests whose answer is complete, refuses those that may not be retried and retries the others. Each retry takes
/// a token from a bucket that is refilled by first attempts and over time; while it is empty, a retry waits for an exponential backoff with jitter.
class RetrySystem : public ISystem
{
public:
    RetrySystem(const PolicySettings &settings, std::uint64_t seed);
    void run(Tables &tables, TickContext &context) override;

private:
    void handleEnd(Tables &tables, TickContext &context, const EndedAttempt &ended);
    void retry(Tables &tables, TickContext &context, RequestRow &row);
    /// Adds the retry tokens earned since the last refill.
    void refill(const Tables &tables, TimePoint now);
    /// Returns the delay, with jitter, after which a request that has had @p attempts attempts asks for a retry token again.
    [[nodiscard]] Duration backoff(std::uint32_t attempts);

    PolicySettings m_settings;
    std::mt19937_64 m_random;
    double m_tokens;                   ///< Retries in the bucket.
    std::uint64_t m_firstAttempts = 0; ///< Value of Tables::firstAttempts at the last refill.
    TimePoint m_refilledAt;
};

}
