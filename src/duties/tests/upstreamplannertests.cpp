#include "duties/upstreamplanner.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::duties;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

routing::Service makeService(std::optional<double> reclaimablePrice)
{
    routing::Service service;
    service.name = "engines";
    service.scaling = routing::ScalingSpec{1, 12, std::chrono::seconds(4), reclaimablePrice, {}};
    return service;
}

ServiceLoad makeLoad(double busy, ZoneReplicas perZone)
{
    ServiceLoad load;
    load.zones = {{"eger", perZone}, {"miskolc", perZone}, {"nyiregyhaza", perZone}};
    load.busyUpstreams = busy;
    load.measured = true;
    return load;
}

/// Plans once a second and carries the orders out, the reclaimable ones only while they are to be had. Returns the number of orders.
std::size_t play(UpstreamPlanner &planner, const routing::Service &service, ServiceLoad &load, int fromSecond, int toSecond, bool reclaimableToBeHad = true)
{
    std::size_t orders = 0;
    for (int second = fromSecond; second < toSecond; ++second) {
        const TimePoint now = Start + std::chrono::seconds(second);
        planner.observe(service, load, now);
        for (const ports::UpstreamOrder &order : planner.plan(service, load, now)) {
            ++orders;
            ZoneReplicas &replicas = load.zones.at(order.zone);
            std::uint32_t &there = order.reclaimable ? replicas.reclaimable : replicas.permanent;
            if (order.reclaimable && order.replicas > there && !reclaimableToBeHad) {
                planner.noteUnavailable(order, now);
                continue;
            }
            there = order.replicas;
        }
    }
    return orders;
}

std::uint32_t permanentOf(const ServiceLoad &load)
{
    std::uint32_t sum = 0;
    for (const auto &[zone, replicas] : load.zones) {
        sum += replicas.permanent;
    }
    return sum;
}

std::uint32_t reclaimableOf(const ServiceLoad &load)
{
    std::uint32_t sum = 0;
    for (const auto &[zone, replicas] : load.zones) {
        sum += replicas.reclaimable;
    }
    return sum;
}

}

TEST_CASE("A calm day needs fewer permanent upstreams than stand there")
{
    UpstreamPlanner planner;
    const routing::Service service = makeService(0.18);
    ServiceLoad load = makeLoad(9, {6, 0});

    SECTION("but none leaves before the load was seen for some time, since it seems small when callers begin to come")
    {
        play(planner, service, load, 0, 5);
        CHECK(load.zones.at("eger").permanent == 6);
    }
    SECTION("then the reclaimable ones take over the head room")
    {
        play(planner, service, load, 0, 20);
        CHECK(permanentOf(load) == 9);
        CHECK(reclaimableOf(load) == 11);

        SECTION("and nothing more is ordered")
        {
            CHECK(play(planner, service, load, 20, 30) == 0);
        }
        SECTION("a burst raises the orders at once, its end lowers them slowly")
        {
            load.busyUpstreams = 18;
            play(planner, service, load, 20, 21);
            CHECK(permanentOf(load) == 18);
            CHECK(reclaimableOf(load) == 18);
            load.busyUpstreams = 9;
            CHECK(play(planner, service, load, 21, 28) == 0);
            CHECK(play(planner, service, load, 28, 40) > 0);
            CHECK(load.zones.at("eger").permanent == 3);
        }
        SECTION("a zone whose reclaimable ones were taken, with none to be had, keeps its permanent ones")
        {
            load.zones.at("eger").reclaimable = 0;
            play(planner, service, load, 20, 30, false);
            CHECK(load.zones.at("eger").permanent == 3);
            CHECK(load.zones.at("eger").reclaimable == 0);
            play(planner, service, load, 30, 40);
            CHECK(load.zones.at("eger").reclaimable == 4);
        }
        SECTION("when all reclaimable ones are gone and none are to be had, permanent ones give some of the head room")
        {
            // Pattern: a reclaim of all zones with nothing to be had, at a load of 9, which would keep 9 permanent ones busy without a break.
            for (auto &[zone, replicas] : load.zones) {
                replicas.reclaimable = 0;
            }
            play(planner, service, load, 20, 30, false);
            CHECK(permanentOf(load) == 10);
            play(planner, service, load, 30, 50);
            CHECK(permanentOf(load) == 9);
            CHECK(reclaimableOf(load) == 11);
        }
        SECTION("and a holder that lost the duty for a moment goes on from the load it has seen")
        {
            // Pattern: the store is away every few seconds, and with it the lease; learning anew each time would keep all that stands there.
            load.busyUpstreams = 3;
            for (int second = 20; second < 30; ++second) {
                planner.observe(service, load, Start + std::chrono::seconds(second));
            }
            play(planner, service, load, 30, 33);
            CHECK(permanentOf(load) == 3);
        }
        SECTION("and one that takes the duty over from another host waits with ordering less")
        {
            load.busyUpstreams = 3;
            for (int second = 20; second < 30; ++second) {
                planner.observe(service, load, Start + std::chrono::seconds(second));
            }
            planner.takeOver(Start + std::chrono::seconds(30));
            play(planner, service, load, 30, 35);
            CHECK(permanentOf(load) == 9);
            play(planner, service, load, 35, 37);
            CHECK(permanentOf(load) == 3);
        }
        SECTION("and a host that takes the duty over orders nothing less before it has seen the load")
        {
            UpstreamPlanner successor;
            load.busyUpstreams = 0.5;
            CHECK(play(successor, service, load, 20, 25) == 0);
        }
    }
}

TEST_CASE("Without reclaimable upstreams the permanent ones serve alone")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(9, {6, 0});
    play(planner, makeService(std::nullopt), load, 0, 20);
    CHECK(permanentOf(load) == 10);
    CHECK(reclaimableOf(load) == 0);
}

TEST_CASE("What does not divide by the availability zones goes to the cheapest")
{
    // Pattern: a small service of three zones, where one upstream more in each zone than is needed is a third of the price.
    UpstreamPlanner planner;
    routing::Service service = makeService(std::nullopt);
    service.scaling->zonePrices = {{"eger", 1.2}, {"miskolc", 0.85}, {"nyiregyhaza", 1.0}};
    ServiceLoad load = makeLoad(4, {6, 0});
    play(planner, service, load, 0, 20);
    CHECK(load.zones.at("miskolc").permanent == 2);
    CHECK(load.zones.at("nyiregyhaza").permanent == 2);
    CHECK(load.zones.at("eger").permanent == 1);
}

TEST_CASE("Reclaimable upstreams that were ordered before callers came stay ordered while the load is being learned")
{
    // Pattern: the first callers come while the upstreams ordered for them are still starting. Taken back, they were not to be had again.
    UpstreamPlanner planner;
    const routing::Service service = makeService(0.18);
    ServiceLoad load = makeLoad(0, {3, 0});
    load.measured = false;
    std::vector<ports::UpstreamOrder> orders;
    for (int second = 0; second < 4 && orders.empty(); ++second) {
        planner.observe(service, load, Start + std::chrono::seconds(second));
        orders = planner.plan(service, load, Start + std::chrono::seconds(second));
    }
    REQUIRE(orders.size() == 3);
    CHECK(orders.front().reclaimable);
    load.measured = true;
    load.busyUpstreams = 0.3;
    planner.observe(service, load, Start + std::chrono::seconds(4));
    CHECK(planner.plan(service, load, Start + std::chrono::seconds(4)).empty());
}

TEST_CASE("The bounds of a service hold for both kinds together")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(30, {6, 0});
    play(planner, makeService(0.18), load, 0, 20);
    CHECK(load.zones.at("eger").permanent + load.zones.at("eger").reclaimable <= 12);

    SECTION("and a service that may have none at all is ordered none")
    {
        UpstreamPlanner other;
        routing::Service service = makeService(0.18);
        service.scaling->maxReplicas = 0;
        play(other, service, load, 0, 20);
        CHECK(permanentOf(load) + reclaimableOf(load) == 0);
    }
}

TEST_CASE("Before callers come")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(0, {1, 0});
    load.measured = false;

    SECTION("nothing is ordered while upstreams are still being listed")
    {
        for (std::uint32_t second = 0; second < 6; ++second) {
            load.zones.at("eger").permanent = 1 + second;
            CHECK(play(planner, makeService(0.18), load, static_cast<int>(second), static_cast<int>(second) + 1) == 0);
        }
    }
    SECTION("reclaimable upstreams take the place of some permanent ones, and their number stays")
    {
        for (auto &[zone, replicas] : load.zones) {
            replicas.permanent = 6;
        }
        play(planner, makeService(0.18), load, 0, 20);
        CHECK(load.zones.at("eger").permanent == 3);
        CHECK(load.zones.at("eger").reclaimable == 3);
    }
    SECTION("permanent ones alone stay as they are")
    {
        CHECK(play(planner, makeService(std::nullopt), load, 0, 20) == 0);
    }
}

TEST_CASE("An order without effect is repeated")
{
    UpstreamPlanner planner;
    const ServiceLoad load = makeLoad(18, {2, 0});
    planner.observe(makeService(std::nullopt), load, Start);
    REQUIRE(planner.plan(makeService(std::nullopt), load, Start).size() == 3);
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(5)).empty());
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(11)).size() == 3);
}
