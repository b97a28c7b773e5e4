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

/// Plans once a second and carries the orders out at once, except that the platform has no more reclaimable upstreams to give when
/// @p reclaimableAvailable is false. Returns the number of orders.
std::size_t
runPlanner(UpstreamPlanner &planner, const routing::Service &service, ServiceLoad &load, int fromSecond, int toSecond, bool reclaimableAvailable = true)
{
    std::size_t orders = 0;
    for (int second = fromSecond; second < toSecond; ++second) {
        const TimePoint now = Start + std::chrono::seconds(second);
        planner.observe(service, load, now);
        for (const ports::ScalingTarget &order : planner.plan(service, load, now)) {
            ++orders;
            ZoneReplicas &replicas = load.zones.at(order.zone);
            std::uint32_t &current = order.reclaimable ? replicas.reclaimable : replicas.permanent;
            if (order.reclaimable && order.replicas > current && !reclaimableAvailable) {
                planner.noteUnavailable(order, now);
                continue;
            }
            current = order.replicas;
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

TEST_CASE("A moderate load needs fewer permanent upstreams than are running")
{
    UpstreamPlanner planner;
    const routing::Service service = makeService(0.18);
    ServiceLoad load = makeLoad(9, {6, 0});

    SECTION("no permanent upstream is released before the load was observed for some time, since it seems small when callers begin to arrive")
    {
        runPlanner(planner, service, load, 0, 5);
        CHECK(load.zones.at("eger").permanent == 6);
    }
    SECTION("after the observation time, reclaimable upstreams provide the headroom instead of permanent ones")
    {
        runPlanner(planner, service, load, 0, 20);
        CHECK(permanentOf(load) == 9);
        CHECK(reclaimableOf(load) == 11);

        SECTION("nothing more is ordered while the load stays the same")
        {
            CHECK(runPlanner(planner, service, load, 20, 30) == 0);
        }
        SECTION("a burst raises the orders at once, and they fall only after the peak window")
        {
            load.busyUpstreams = 18;
            runPlanner(planner, service, load, 20, 21);
            CHECK(permanentOf(load) == 18);
            CHECK(reclaimableOf(load) == 18);
            load.busyUpstreams = 9;
            CHECK(runPlanner(planner, service, load, 21, 28) == 0);
            CHECK(runPlanner(planner, service, load, 28, 40) > 0);
            CHECK(load.zones.at("eger").permanent == 3);
        }
        SECTION("an availability zone that loses its reclaimable upstreams, with none available, keeps its permanent ones")
        {
            load.zones.at("eger").reclaimable = 0;
            runPlanner(planner, service, load, 20, 30, false);
            CHECK(load.zones.at("eger").permanent == 3);
            CHECK(load.zones.at("eger").reclaimable == 0);
            runPlanner(planner, service, load, 30, 40);
            CHECK(load.zones.at("eger").reclaimable == 4);
        }
        SECTION("when all reclaimable upstreams are lost and none are available, permanent ones provide some of the headroom")
        {
            // Without headroom, a load of 9 keeps 9 permanent upstreams busy without a break while all availability zones are reclaimed.
            for (auto &[zone, replicas] : load.zones) {
                replicas.reclaimable = 0;
            }
            runPlanner(planner, service, load, 20, 30, false);
            CHECK(permanentOf(load) == 10);
            runPlanner(planner, service, load, 30, 50);
            CHECK(permanentOf(load) == 9);
            CHECK(reclaimableOf(load) == 11);
        }
        SECTION("a holder that lost the duty for a moment still uses the load that it observed")
        {
            // When the log is unavailable every few seconds, the lease is lost each time; a new observation period after each loss would never
            // allow fewer upstreams.
            load.busyUpstreams = 3;
            for (int second = 20; second < 30; ++second) {
                planner.observe(service, load, Start + std::chrono::seconds(second));
            }
            runPlanner(planner, service, load, 30, 33);
            CHECK(permanentOf(load) == 3);
        }
        SECTION("a host that takes the duty over from another host orders fewer upstreams only after some time")
        {
            load.busyUpstreams = 3;
            for (int second = 20; second < 30; ++second) {
                planner.observe(service, load, Start + std::chrono::seconds(second));
            }
            planner.takeOver(Start + std::chrono::seconds(30));
            runPlanner(planner, service, load, 30, 35);
            CHECK(permanentOf(load) == 9);
            runPlanner(planner, service, load, 35, 37);
            CHECK(permanentOf(load) == 3);
        }
        SECTION("a host that has not observed the load before does not order fewer upstreams at first")
        {
            UpstreamPlanner successor;
            load.busyUpstreams = 0.5;
            CHECK(runPlanner(successor, service, load, 20, 25) == 0);
        }
    }
}

TEST_CASE("Without reclaimable upstreams, permanent ones provide the headroom as well")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(9, {6, 0});
    runPlanner(planner, makeService(std::nullopt), load, 0, 20);
    CHECK(permanentOf(load) == 10);
    CHECK(reclaimableOf(load) == 0);
}

TEST_CASE("Upstreams that do not divide evenly over the availability zones go to the cheapest zones")
{
    // In a small service of three availability zones, rounding up in each zone would add a third to the cost.
    UpstreamPlanner planner;
    routing::Service service = makeService(std::nullopt);
    service.scaling->zonePrices = {{"eger", 1.2}, {"miskolc", 0.85}, {"nyiregyhaza", 1.0}};
    ServiceLoad load = makeLoad(4, {6, 0});
    runPlanner(planner, service, load, 0, 20);
    CHECK(load.zones.at("miskolc").permanent == 2);
    CHECK(load.zones.at("nyiregyhaza").permanent == 2);
    CHECK(load.zones.at("eger").permanent == 1);
}

TEST_CASE("Reclaimable upstreams ordered before the load was measured stay ordered during the observation period")
{
    // The first requests arrive while the ordered upstreams are still starting. Cancelling the orders then would lose upstreams that may not be
    // available again.
    UpstreamPlanner planner;
    const routing::Service service = makeService(0.18);
    ServiceLoad load = makeLoad(0, {3, 0});
    load.measured = false;
    std::vector<ports::ScalingTarget> orders;
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

TEST_CASE("The replica limits of a service apply to permanent and reclaimable upstreams together")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(30, {6, 0});
    runPlanner(planner, makeService(0.18), load, 0, 20);
    CHECK(load.zones.at("eger").permanent + load.zones.at("eger").reclaimable <= 12);

    SECTION("a service with a maximum of zero replicas gets no upstreams")
    {
        UpstreamPlanner other;
        routing::Service service = makeService(0.18);
        service.scaling->maxReplicas = 0;
        runPlanner(other, service, load, 0, 20);
        CHECK(permanentOf(load) + reclaimableOf(load) == 0);
    }
}

TEST_CASE("Planning before the load of a service is measured")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(0, {1, 0});
    load.measured = false;

    SECTION("nothing is ordered while the number of listed upstreams still grows")
    {
        for (std::uint32_t second = 0; second < 6; ++second) {
            load.zones.at("eger").permanent = 1 + second;
            CHECK(runPlanner(planner, makeService(0.18), load, static_cast<int>(second), static_cast<int>(second) + 1) == 0);
        }
    }
    SECTION("reclaimable upstreams replace some of the permanent ones, and the total number stays the same")
    {
        for (auto &[zone, replicas] : load.zones) {
            replicas.permanent = 6;
        }
        runPlanner(planner, makeService(0.18), load, 0, 20);
        CHECK(load.zones.at("eger").permanent == 3);
        CHECK(load.zones.at("eger").reclaimable == 3);
    }
    SECTION("without reclaimable upstreams, the permanent ones stay as they are")
    {
        CHECK(runPlanner(planner, makeService(std::nullopt), load, 0, 20) == 0);
    }
}

TEST_CASE("An order that has no effect is repeated after some time")
{
    UpstreamPlanner planner;
    const ServiceLoad load = makeLoad(18, {2, 0});
    planner.observe(makeService(std::nullopt), load, Start);
    REQUIRE(planner.plan(makeService(std::nullopt), load, Start).size() == 3);
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(5)).empty());
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(11)).size() == 3);
}

TEST_CASE("One availability zone is reclaimed after the other while no reclaimable upstreams are to be had, under a load that cannot wait")
{
    UpstreamPlanner planner;
    const routing::Service service = makeService(0.18);
    ServiceLoad load = makeLoad(9, {6, 0});
    load.keepsHeadroom = true;
    runPlanner(planner, service, load, 0, 20);
    REQUIRE(permanentOf(load) == 9);
    REQUIRE(reclaimableOf(load) == 11);

    SECTION("permanent upstreams are ordered as soon as the reclaim is announced, without asking for reclaimable ones first")
    {
        ZoneReplicas &eger = load.zones.at("eger");
        eger.reclaimable = 0;
        eger.reclaimAnnounced = true;
        const TimePoint now = Start + std::chrono::seconds(20);
        planner.observe(service, load, now);
        bool permanentOrdered = false;
        for (const ports::ScalingTarget &order : planner.plan(service, load, now)) {
            CHECK_FALSE((order.zone == "eger" && order.reclaimable && order.replicas > 0));
            permanentOrdered = permanentOrdered || !order.reclaimable;
        }
        CHECK(!permanentOrdered); // The others still provide the headroom.

        SECTION("and provide the headroom when the other zones are reclaimed too")
        {
            for (auto &[zone, replicas] : load.zones) {
                replicas.reclaimable = 0;
                replicas.reclaimAnnounced = true;
            }
            runPlanner(planner, service, load, 20, 21, false);
            CHECK(permanentOf(load) == 14);
        }
    }
    SECTION("upstreams that are starting are not given up each time that reclaimable ones are asked for in vain")
    {
        for (auto &[zone, replicas] : load.zones) {
            replicas.reclaimable = 0;
        }
        runPlanner(planner, service, load, 20, 22, false);
        const std::uint32_t ordered = permanentOf(load);
        CHECK(ordered == 14);
        for (int second = 22; second < 35; ++second) {
            runPlanner(planner, service, load, second, second + 1, false);
            CHECK(permanentOf(load) == ordered);
        }
        SECTION("nor while both kinds together would exceed the limit of a zone")
        {
            load.busyUpstreams = 18;
            runPlanner(planner, service, load, 35, 37, false);
            const std::uint32_t more = permanentOf(load);
            CHECK(more == 28);
            for (int second = 37; second < 50; ++second) {
                runPlanner(planner, service, load, second, second + 1, false);
                CHECK(permanentOf(load) == more);
            }
        }
        SECTION("they are released once reclaimable ones run")
        {
            runPlanner(planner, service, load, 35, 60);
            CHECK(permanentOf(load) == 9);
            CHECK(reclaimableOf(load) == 11);
        }
    }
}
