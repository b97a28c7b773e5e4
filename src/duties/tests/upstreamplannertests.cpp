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
    load.known = true;
    return load;
}

/// Carries all orders out.
void carryOut(ServiceLoad &load, const std::vector<ports::UpstreamOrder> &orders)
{
    for (const ports::UpstreamOrder &order : orders) {
        ZoneReplicas &replicas = load.zones.at(order.zone);
        (order.reclaimable ? replicas.reclaimable : replicas.permanent) = order.replicas;
    }
}

}

TEST_CASE("A calm day needs fewer permanent upstreams than stand there")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(4, {6, 0});

    SECTION("the reclaimable ones come first, and the permanent ones leave once those are there")
    {
        const std::vector<ports::UpstreamOrder> first = planner.plan(makeService(0.18), load, Start);
        REQUIRE(first.size() == 6);
        CHECK(first[0] == ports::UpstreamOrder{"engines", "eger", true, 2});
        CHECK(first[1] == ports::UpstreamOrder{"engines", "eger", false, 4});
        carryOut(load, first);
        carryOut(load, planner.plan(makeService(0.18), load, Start + std::chrono::seconds(5)));
        CHECK(load.zones.at("eger").permanent == 2);
        CHECK(load.zones.at("eger").reclaimable == 2);

        SECTION("and then nothing more is ordered")
        {
            CHECK(planner.plan(makeService(0.18), load, Start + std::chrono::seconds(6)).empty());
        }
        SECTION("a burst raises the orders at once, its end lowers them slowly")
        {
            load.busyUpstreams = 9;
            carryOut(load, planner.plan(makeService(0.18), load, Start + std::chrono::seconds(7)));
            CHECK(load.zones.at("eger").permanent == 5);
            load.busyUpstreams = 4;
            CHECK(planner.plan(makeService(0.18), load, Start + std::chrono::seconds(9)).empty());
            CHECK(!planner.plan(makeService(0.18), load, Start + std::chrono::seconds(20)).empty());
        }
        SECTION("a zone whose reclaimable ones were taken, with none to be had, keeps its permanent ones")
        {
            load.zones.at("eger").reclaimable = 0;
            planner.noteUnavailable({"engines", "eger", true, 2}, Start + std::chrono::seconds(6));
            CHECK(planner.plan(makeService(0.18), load, Start + std::chrono::seconds(6)).empty());
            const std::vector<ports::UpstreamOrder> again = planner.plan(makeService(0.18), load, Start + std::chrono::seconds(10));
            REQUIRE(again.size() == 1);
            CHECK(again[0] == ports::UpstreamOrder{"engines", "eger", true, 2});
        }
    }
    SECTION("without reclaimable ones the permanent ones serve alone")
    {
        carryOut(load, planner.plan(makeService(std::nullopt), load, Start));
        CHECK(load.zones.at("eger").permanent == 4);
        CHECK(load.zones.at("eger").reclaimable == 0);
    }
}

TEST_CASE("The bounds of a service hold for both kinds together")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(30, {6, 0});
    carryOut(load, planner.plan(makeService(0.18), load, Start));
    carryOut(load, planner.plan(makeService(0.18), load, Start + std::chrono::seconds(5)));
    CHECK(load.zones.at("eger").permanent + load.zones.at("eger").reclaimable <= 12);
}

TEST_CASE("Before callers come, nothing is ordered")
{
    UpstreamPlanner planner;
    ServiceLoad load = makeLoad(0, {6, 0});
    load.known = false;
    CHECK(planner.plan(makeService(0.18), load, Start).empty());
}

TEST_CASE("An order without effect is repeated")
{
    UpstreamPlanner planner;
    const ServiceLoad load = makeLoad(4, {6, 0});
    REQUIRE(!planner.plan(makeService(std::nullopt), load, Start).empty());
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(5)).empty());
    CHECK(planner.plan(makeService(std::nullopt), load, Start + std::chrono::seconds(11)).size() == 3);
}
