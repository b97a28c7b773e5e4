#include "rollouts/versiongate.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::rollouts;
using namespace std::chrono_literals;

namespace {

constexpr ExposureBounds Bounds{0.1, 50, 5'000ms};
constexpr TimePoint Start{1'000s};
constexpr OrderId First = orderId(1, 7);
const Order ToSecond{"models", "v2", 12s};

/// A gate that has known upstreams of v1 for a while, and the changes of its roll-outs.
struct Host {
    std::vector<std::string> changes;
    VersionGate gate;

    explicit Host(const ExposureBounds &bounds = Bounds)
        : gate(bounds, 3s, 0.5, [this](const Rollout &rollout, std::string_view change) {
            changes.push_back(rollout.order().version + " " + std::string(change));
        })
    {
        gate.noteListed("a", "models", "v1", Start - 60s);
        gate.noteListed("b", "models", "v1", Start - 60s);
    }

    /// Whether a request may run at an upstream of @p version.
    [[nodiscard]] bool admits(std::string_view version, TimePoint now) const
    {
        return gate.filter("models", {}, true, now).admits(version, "x");
    }
};

}

TEST_CASE("A version that appears beside others is held back until it is certain that no order has come for it")
{
    Host host;
    host.gate.noteListed("c", "models", "v2", Start);
    CHECK(host.admits("v1", Start));
    CHECK(!host.admits("v2", Start));
    CHECK(host.gate.filter("models", {}, true, Start).optional);
    CHECK(host.gate.filter("models", {}, false, Start).admits("v2", "c")); // No other upstream takes the request.

    SECTION("as when the orders are read after that")
    {
        host.gate.noteOrdersRead(Start - 1ms);
        host.gate.update({}, Start + 1s);
        CHECK(!host.admits("v2", Start + 1s));
        host.gate.noteOrdersRead(Start);
        host.gate.update({}, Start + 1s);
        CHECK(host.admits("v2", Start + 1s));
    }
    SECTION("or when an order would have come")
    {
        host.gate.update({}, Start + 3s);
        CHECK(host.admits("v2", Start + 3s));
    }
    SECTION("an order that comes meanwhile keeps it back")
    {
        host.gate.applyOrder(First, ToSecond, 0s, Start + 1s);
        host.gate.update({}, Start + 4s);
        CHECK(!host.admits("v2", Start + 4s));
    }
    SECTION("an upstream of a version that serves already is used at once, as is any where orders are not followed")
    {
        host.gate.noteListed("d", "models", "v1", Start);
        CHECK(host.admits("v1", Start));
        Host other(ExposureBounds{});
        other.gate.noteListed("c", "models", "v2", Start);
        other.gate.applyOrder(First, ToSecond, 0s, Start);
        CHECK(other.admits("v2", Start));
        CHECK(other.gate.content(Start).empty());
    }
}

TEST_CASE("A later order for a service replaces the one before")
{
    Host host;
    host.gate.applyOrder(First, ToSecond, 0s, Start);
    host.gate.applyOrder(First, ToSecond, 0s, Start + 1s);
    host.gate.noteListed("c", "models", "v2", Start);
    SECTION("and the version whose roll-out did not end gets nothing")
    {
        host.gate.applyOrder(First + 1, {"models", "v3", 12s}, 0s, Start + 4s);
        CHECK(host.changes == std::vector<std::string>{"v2 ordered", "v2 replaced", "v3 ordered"});
        CHECK(!host.admits("v2", Start + 4s));
        CHECK(!host.admits("v3", Start + 4s));
        CHECK(host.admits("v1", Start + 4s));
    }
    SECTION("one back to the version that serves most lets that serve")
    {
        host.gate.applyOrder(First + 1, {"models", "v1", 12s}, 0s, Start + 4s);
        CHECK(host.admits("v1", Start + 4s));
        CHECK(!host.admits("v2", Start + 4s));
        CHECK(host.gate.find("models")->returns());
    }
    SECTION("an earlier one, and the same one in the next era of the log, change nothing")
    {
        host.gate.applyOrder(First - 1, {"models", "v3", 12s}, 0s, Start + 4s);
        host.gate.applyOrder(orderId(2, 3), ToSecond, 0s, Start + 4s);
        CHECK(host.changes.size() == 1);
        CHECK(host.gate.find("models")->id() == orderId(2, 3));
        CHECK(host.gate.find("models")->age(Start + 4s) == Duration(4s));
    }
    SECTION("one that has ended does not begin again when it is read once more")
    {
        host.gate.applyState("models", First, State::RolledBack, true, Start + 4s);
        host.gate.noteRemoved("c");
        host.gate.update({}, Start + 5s);
        CHECK(host.changes.back() == "v2 settled");
        host.gate.applyOrder(First, ToSecond, std::nullopt, Start + 6s);
        host.gate.applyOrder(orderId(2, 1), ToSecond, 0s, Start + 6s);
        CHECK(host.gate.rollouts().empty());
    }
}

TEST_CASE("Hosts tell each other of orders, outcomes and what they have seen")
{
    Host reader;
    Host other;
    reader.gate.applyOrder(First, ToSecond, 0s, Start);
    Rollout &seen = *reader.gate.find("models");
    for (int number = 0; number < 6; ++number) {
        seen.noteRequest();
        seen.noteFailure("v2", number % 2 == 0 ? "c" : "d", "plan");
    }
    REQUIRE(other.gate.apply("reader/1", reader.gate.content(Start + 1s), Start + 1s));
    Rollout &heard = *other.gate.find("models");
    CHECK(heard.age(Start + 1s) == Duration(1s));
    CHECK(heard.pooled() == seen.pooled());

    SECTION("repeated and late content counts once, also when its sender is gone")
    {
        const std::string early = reader.gate.content(Start + 1s);
        seen.noteRequest();
        seen.noteFailure("v2", "c", "plan");
        CHECK(other.gate.apply("reader/1", reader.gate.content(Start + 2s), Start + 2s));
        CHECK(other.gate.apply("reader/1", early, Start + 2s));
        other.gate.forget("reader/1");
        CHECK(heard.pooled().failures() == 7);
    }
    SECTION("a host that hears of bad answers stops without the holder")
    {
        other.gate.update({}, Start + 1s);
        CHECK(other.changes.back() == "v2 stopped");
    }
    SECTION("an outcome reaches a host that joins, from the others or from the log")
    {
        reader.gate.applyState("models", First, State::RolledBack, true, Start + 2s);
        CHECK(other.gate.apply("reader/1", reader.gate.content(Start + 2s), Start + 2s));
        CHECK(heard.recorded());
        Host joining;
        joining.gate.applyOrder(First, ToSecond, std::nullopt, Start + 3s);
        joining.gate.applyRecord({"models", "v2", State::Running, First, 100'000}, 95s, Start + 3s);
        CHECK(joining.gate.find("models")->age(Start + 3s) == Duration(7s));
        joining.gate.applyRecord({"models", "v2", State::Complete, First + 1, 0}, 95s, Start + 3s);
        CHECK(!isFinal(joining.gate.find("models")->state()));
        joining.gate.applyRecord({"models", "v2", State::RolledBack, First, 0}, 95s, Start + 3s);
        CHECK(joining.gate.find("models")->state() == State::RolledBack);
    }
    SECTION("the holder's state is followed while it is heard")
    {
        reader.gate.setHolderToken(4, Start + 2s);
        reader.gate.applyState("models", First, State::Running, false, Start + 2s);
        CHECK(other.gate.apply("reader/1", reader.gate.content(Start + 2s), Start + 2s));
        CHECK(heard.state() == State::Running);
    }
    SECTION("content that cannot be read or cannot be true has no effect")
    {
        const std::string content = reader.gate.content(Start + 1s);
        for (std::size_t size = 0; size < content.size(); ++size) {
            CHECK(!other.gate.apply("reader/1", std::string_view(content).substr(0, size), Start + 1s));
        }
        CHECK(!other.gate.apply("reader/1", content + "x", Start + 1s));
        CHECK(!other.gate.apply("odd/1", reader.gate.content(Start + 60s), Start + 1s));
        CHECK(heard.age(Start + 1s) == Duration(1s));
    }
}
