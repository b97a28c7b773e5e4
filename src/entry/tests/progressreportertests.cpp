#include "entry/internal/progressreporter.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemaryshift::entry;

SCENARIO("Progress of an attempt is reported at most once per interval")
{
    std::vector<std::uint32_t> reports;
    ProgressReporter reporter([&](std::uint32_t tokens) { reports.push_back(tokens); });
    ProgressReporter::Clock::time_point now;
    const auto addTokens = [&](int tokens) {
        for (int i = 0; i < tokens; ++i) {
            reporter.add(1, now);
            now += std::chrono::milliseconds(10);
        }
    };
    GIVEN("the first token of an attempt")
    {
        addTokens(1);
        THEN("the first token is reported at once")
        {
            CHECK(reports == std::vector<std::uint32_t>{1});
        }
    }
    GIVEN("100 tokens, one every 10 ms")
    {
        addTokens(100);
        THEN("five reports are sent, and flush() sends the remaining tokens once")
        {
            CHECK(reports == std::vector<std::uint32_t>{1, 20, 20, 20, 20});
            reporter.flush();
            CHECK(reports.back() == 19);
            reporter.flush();
            CHECK(reports.size() == 6);
        }
    }
    GIVEN("a token 5 s after an unreported one")
    {
        addTokens(2);
        now += std::chrono::seconds(5);
        addTokens(1);
        THEN("the token is reported at once, together with the unreported one")
        {
            CHECK(reports == std::vector<std::uint32_t>{1, 2});
        }
    }
}
