#include "entry/internal/progressreporter.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemaryshift::entry;

SCENARIO("The control thread is told of an attempt's tokens a few times a second")
{
    std::vector<std::uint32_t> told;
    ProgressReporter reporter([&](std::uint32_t tokens) { told.push_back(tokens); });
    ProgressReporter::Clock::time_point now;
    const auto take = [&](int tokens) {
        for (int i = 0; i < tokens; ++i) {
            reporter.add(1, now);
            now += std::chrono::milliseconds(10);
        }
    };
    GIVEN("the first token")
    {
        take(1);
        THEN("it is told at once")
        {
            CHECK(told == std::vector<std::uint32_t>{1});
        }
    }
    GIVEN("a second of tokens, one every 10 ms")
    {
        take(100);
        THEN("five reports tell of them, and a last one of the rest")
        {
            CHECK(told == std::vector<std::uint32_t>{1, 20, 20, 20, 20});
            reporter.flush();
            CHECK(told.back() == 19);
            reporter.flush();
            CHECK(told.size() == 6);
        }
    }
    GIVEN("a token after a long silence")
    {
        take(2);
        now += std::chrono::seconds(5);
        take(1);
        THEN("it is told at once, with the one before")
        {
            CHECK(told == std::vector<std::uint32_t>{1, 2});
        }
    }
}
