#include "balancing/tests/simulatedfleet.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::balancing;
using namespace rosemaryshift::balancing::tests;

namespace {

/// Twice the ordinary demand for each upstream.
constexpr double BusyRequestsPerUpstream = 16;

}

// Guards against the herd that stale reports bring about: all hosts of a large fleet take the same few upstreams for the least busy ones, and overload them.
TEST_CASE("Hosts that know each other's load late spread a heavy load over the upstreams better than by comparing all of them")
{
    const auto [hosts, upstreams] = GENERATE(table<std::size_t, std::size_t>({{77, 74}, {295, 130}, {420, 160}}));
    CAPTURE(hosts, upstreams);
    const double demand = BusyRequestsPerUpstream * static_cast<double>(upstreams);
    const double comparingAll = SimulatedFleet(hosts, upstreams, true).play(demand).inTime();
    const double comparingFew = SimulatedFleet(hosts, upstreams, false).play(demand).inTime();
    CAPTURE(comparingAll);
    CHECK(comparingFew > comparingAll);
}

// A small fleet hears of its load in time, and is served best by the upstream that is the least busy.
TEST_CASE("Hosts of a small fleet serve nearly all requests of a heavy load in time")
{
    CHECK(SimulatedFleet(8, 130, false).play(BusyRequestsPerUpstream * 130).inTime() > 0.99);
}

// The part of the requests that are late grows with the age of the reports, also where only a few upstreams are compared.
TEST_CASE("Hosts of a fleet of 295 serve a heavy load in time as well as those of a small fleet")
{
    CHECK(SimulatedFleet(295, 130, false).play(BusyRequestsPerUpstream * 130).inTime() > 0.99);
}
