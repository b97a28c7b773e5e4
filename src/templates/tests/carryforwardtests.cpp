#include "templates/carryforward.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::templates;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr CarryForwardSettings Settings{seconds(60), milliseconds(100)};
constexpr std::size_t Hosts = 9;

std::unique_ptr<ITemplateFold> foldWithYard()
{
    std::unique_ptr<ITemplateFold> fold = makeTemplateFold();
    const std::string text = "workspace = \"yard\"\nkey_sha256 = [\"" + std::string(64, 'a')
        + "\"]\n[limits]\nrequests_in_flight = 2\nrequests_queued = 2\n[[models]]\nname = \"small\"\n";
    REQUIRE(fold->apply(100, {"yard", 0, "first", "anna", text}).verdict == ChangeVerdict::Accepted);
    return fold;
}

}

SCENARIO("Hosts carry templates forward before retention drops them")
{
    const std::unique_ptr<ITemplateFold> fold = foldWithYard();
    const TimePoint start;
    std::vector<CarryForward> hosts;
    for (std::size_t i = 0; i < Hosts; ++i) {
        hosts.emplace_back(Settings, "entry-" + std::to_string(i));
        hosts.back().noteStated("yard", 100, start);
    }
    // Appends of all hosts while the window stands still; an append reaches the other hosts within a tick.
    const auto appendsUntil = [&](const LogWindow &window, TimePoint from, TimePoint until) {
        std::size_t appends = 0;
        for (TimePoint now = from; now <= until; now += milliseconds(10)) {
            std::size_t appendsNow = 0;
            for (CarryForward &host : hosts) {
                appendsNow += host.due(*fold, window, Hosts, now).size();
            }
            for (CarryForward &host : hosts) {
                if (appendsNow > 0) {
                    host.noteStated("yard", window.next, now);
                }
            }
            appends += appendsNow;
        }
        return appends;
    };

    WHEN("the log drops nothing and the record is young")
    {
        CHECK(appendsUntil({0, 10'000}, start, start + seconds(59)) == 0);
    }
    WHEN("the record gets into the oldest part of the window")
    {
        CHECK(appendsUntil({50, 300}, start, start + seconds(2)) == 1);
    }
    WHEN("the record was dropped")
    {
        CHECK(appendsUntil({101, 101}, start, start + seconds(2)) == 1);
    }
    WHEN("the log is quiet for long")
    {
        CHECK(appendsUntil({0, 101}, start, start + seconds(62)) == 1);
    }
    WHEN("the host that appended was mistaken")
    {
        CarryForward alone(Settings, "entry-0");
        std::size_t appends = 0;
        for (TimePoint now = start; now <= start + seconds(10); now += milliseconds(10)) {
            appends += alone.due(*fold, {101, 101}, Hosts, now).size();
        }
        THEN("it tries again, but not at once")
        {
            CHECK(appends > 1);
            CHECK(appends < 12);
        }
    }
}
