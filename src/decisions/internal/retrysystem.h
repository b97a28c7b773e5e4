#pragma once

#include "decisions/idecisioncore.h"
#include "decisions/isystem.h"

#include <random>

namespace rosemaryshift::decisions {

/// Ends attempts, completes requests whose answer is whole and gives up those that may not be tried again. The rest is
/// tried again, from a token bucket that first attempts and time fill; without a token after a jittered, growing delay.
class RetrySystem : public ISystem
{
public:
    RetrySystem(const PolicySettings &settings, std::uint64_t seed);
    void run(Tables &tables, TickContext &context) override;

private:
    void settle(Tables &tables, TickContext &context, const EndedAttempt &ended);
    void retry(Tables &tables, TickContext &context, RequestRow &row);
    void refill(const Tables &tables, TimePoint now);
    [[nodiscard]] Duration backoff(std::uint32_t attempts);

    PolicySettings m_settings;
    std::mt19937_64 m_random;
    double m_tokens;
    std::uint64_t m_firstAttempts = 0; ///< At the last refill.
    TimePoint m_refilledAt;
};

}
