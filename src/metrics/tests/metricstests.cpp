#include "metrics/imetrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

using namespace rosemaryshift;
using namespace rosemaryshift::metrics;

namespace {

/// Value of @p series in the metrics text @p text.
double valueOf(const std::string &text, const std::string &series)
{
    INFO(text);
    const std::size_t at = text.find("\n" + series + " ");
    REQUIRE(at != std::string::npos);
    return std::stod(text.substr(at + series.size() + 2));
}

std::size_t lineCount(const std::string &text)
{
    return static_cast<std::size_t>(std::ranges::count(text, '\n'));
}

}

SCENARIO("Latency quantiles are reported by workspace and traffic class")
{
    const std::shared_ptr<IMetrics> metrics = makeMetrics();
    const RequestLabels labels{"yard", TrafficClass::Question};
    const std::string first = "rosemaryshift_first_token_seconds{workspace=\"yard\",class=\"question\",quantile=";
    GIVEN("three latencies")
    {
        for (const int ms : {30, 10, 20}) {
            metrics->recordFirstTokenLatency(labels, std::chrono::milliseconds(ms));
        }
        THEN("the quantiles are exact")
        {
            CHECK(valueOf(metrics->text(), first + "\"0.5\"}") == Approx(0.020));
            CHECK(valueOf(metrics->text(), first + "\"0.99\"}") == Approx(0.030));
            CHECK(valueOf(metrics->text(), "rosemaryshift_first_token_seconds_count{workspace=\"yard\",class=\"question\"}") == 3);
        }
    }
    GIVEN("twenty thousand latencies in random order")
    {
        constexpr int Values = 20'000;
        std::vector<int> values(Values);
        std::iota(values.begin(), values.end(), 1);
        std::mt19937 random(1);
        std::ranges::shuffle(values, random);
        for (const int value : values) {
            metrics->recordTotalLatency(labels, std::chrono::milliseconds(value));
        }
        THEN("the quantiles are within 2 percent of the true ones")
        {
            const std::string total = "rosemaryshift_total_seconds{workspace=\"yard\",class=\"question\",quantile=";
            CHECK(valueOf(metrics->text(), total + "\"0.5\"}") == Approx(10.0).epsilon(0.02));
            CHECK(valueOf(metrics->text(), total + "\"0.95\"}") == Approx(19.0).epsilon(0.02));
            CHECK(valueOf(metrics->text(), total + "\"0.99\"}") == Approx(19.8).epsilon(0.02));
        }
    }
}

SCENARIO("The number of metric series is bounded")
{
    const std::shared_ptr<IMetrics> metrics = makeMetrics();
    GIVEN("ten thousand workspaces, refusal codes and attempt outcomes")
    {
        const auto fill = [&](int from, int to) {
            for (int i = from; i < to; ++i) {
                const std::string name = "w" + std::to_string(i);
                metrics->countRequest({name, TrafficClass::Plan}, RequestOutcome::Refused, name);
                metrics->countAttempt(name);
                metrics->recordTotalLatency({name, TrafficClass::Plan}, std::chrono::seconds(1));
            }
        };
        fill(0, 1'000);
        const std::size_t before = lineCount(metrics->text());
        fill(1'000, 10'000);
        THEN("no series are added beyond the limits and the excess is counted as other")
        {
            CHECK(lineCount(metrics->text()) == before);
            CHECK(valueOf(metrics->text(), "rosemaryshift_refusals_total{code=\"other\"}") == 10'000 - MaxLabelValues);
            CHECK(valueOf(metrics->text(), "rosemaryshift_requests_total{workspace=\"other\",class=\"plan\",outcome=\"refused\"}") == 10'000 - MaxWorkspaces);
        }
    }
}
