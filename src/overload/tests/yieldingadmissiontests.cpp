#include "overload/yieldingadmission.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::overload;
using namespace std::chrono_literals;

namespace {

/// Part of the requests that is refused.
double refusedPart(const YieldingDemand &demand)
{
    constexpr int Requests = 1'000;
    int refused = 0;
    for (int request = 0; request < Requests; ++request) {
        refused += yieldingRetryDelay(demand, request / static_cast<double>(Requests)) ? 1 : 0;
    }
    return refused / static_cast<double>(Requests);
}

}

TEST_CASE("Plans yield to questions while prompts wait at all upstreams")
{
    YieldingDemand demand;
    demand.latencyGoal = 1s;

    SECTION("all are sent while they begin in time")
    {
        demand.averageWait = 400ms;
        CHECK(refusedPart(demand) == 0);
    }
    SECTION("at twice the wait that is accepted, half of them is refused, with the time in which the queue is read")
    {
        demand.averageWait = 800ms;
        CHECK(refusedPart(demand) == Approx(0.5).margin(0.002));
        CHECK(yieldingRetryDelay(demand, 0) == Duration(400ms));
    }
    SECTION("however long the queue is, a quarter gets through")
    {
        demand.averageWait = 60s;
        CHECK(refusedPart(demand) == Approx(0.75).margin(0.002));
    }
    SECTION("a route without a goal for its latency does not yield")
    {
        demand.latencyGoal = 0s;
        demand.averageWait = 60s;
        CHECK(refusedPart(demand) == 0);
    }
}
