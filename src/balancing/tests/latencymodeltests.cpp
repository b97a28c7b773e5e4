#include "balancing/internal/latencymodel.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift;
using namespace rosemaryshift::balancing;

namespace {

/// Milliseconds that an engine takes for 100 tokens alone, 100 tokens after 10,000 others, and a running request.
constexpr double TokensCost = 1.2;
constexpr double AttentionCost = 0.3;
constexpr double RunningCost = 0.4;
constexpr double Base = 6;

double engineTime(const PrefillWork &work)
{
    const double uncached = static_cast<double>(work.uncachedTokens) / 100;
    const double before = (static_cast<double>(work.promptTokens) - static_cast<double>(work.uncachedTokens) / 2) / 10'000;
    return Base + TokensCost * (uncached + static_cast<double>(work.aheadTokens) / 100) + AttentionCost * uncached * before + RunningCost * work.running;
}

}

TEST_CASE("The time to a first event is expected from samples of other requests")
{
    LatencyModel model;
    std::mt19937_64 random{1};
    std::lognormal_distribution<double> noise(0, 0.2);
    for (int sample = 0; sample < 300; ++sample) {
        const std::uint64_t prompt = 500 + random() % 30'000;
        const PrefillWork work{prompt, prompt / (1 + random() % 4), random() % 3 * 2'000, 0, static_cast<std::uint32_t>(random() % 30)};
        const bool hasWaited = sample % 20 == 0;
        model.addFirstEvent(work, engineTime(work) * noise(random) * (hasWaited ? 10 : 1));
    }
    // Of small prompts, of long ones and of long ones whose beginning is cached, and of one longer than each sample.
    const PrefillWork work = GENERATE(
        PrefillWork{600, 600, 0, 0, 5}, PrefillWork{25'000, 25'000, 0, 0, 10}, PrefillWork{25'000, 5'000, 4'000, 0, 20}, PrefillWork{50'000, 50'000, 0, 0, 10});
    CAPTURE(work.promptTokens, work.uncachedTokens, engineTime(work));
    CHECK(model.firstEvent(work) / engineTime(work) > 0.7);
    CHECK(model.firstEvent(work) / engineTime(work) < 1.4);
}

TEST_CASE("The time between two events is expected only once it was measured")
{
    LatencyModel model;
    CHECK(!model.hasGaps());
    for (std::uint32_t sample = 0; sample < 100; ++sample) {
        model.addGap(sample % 32, 15 + 0.5 * (sample % 32));
    }
    CHECK(model.hasGaps());
    CHECK(model.gap(10) == Approx(20).epsilon(0.1));
}
