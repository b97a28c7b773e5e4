#include "decisions/limitsplit.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift::decisions;

SCENARIO("The shares of all entry hosts add up to the limit")
{
    GIVEN("random limits and availability zones of random sizes")
    {
        for (std::uint32_t seed = 1; seed <= 200; ++seed) {
            std::mt19937 random(seed);
            const std::uint32_t limit = random() % 500;
            const std::uint32_t zones = 1 + random() % 20;
            std::uint32_t sum = 0;
            for (std::uint32_t zone = 0; zone < zones; ++zone) {
                const std::uint32_t hosts = 1 + random() % 21;
                for (std::uint32_t host = 0; host < hosts; ++host) {
                    sum += shareOfLimit(limit, {zones, zone, hosts, host});
                }
            }
            INFO("seed " << seed);
            CHECK(sum == limit);
        }
    }
    GIVEN("three zones of three hosts, one of which is partitioned from the others")
    {
        std::uint32_t partitioned = 0;
        for (std::uint32_t host = 0; host < 3; ++host) {
            partitioned += shareOfLimit(90, {3, 0, 3, host});
        }
        THEN("the other zones do not use the share of the partitioned zone, even when each has lost a host")
        {
            std::uint32_t others = 0;
            for (std::uint32_t zone = 1; zone < 3; ++zone) {
                for (std::uint32_t host = 0; host < 2; ++host) {
                    others += shareOfLimit(90, {3, zone, 2, host});
                }
            }
            CHECK(partitioned == 30);
            CHECK(partitioned + others == 90);
        }
    }
}
