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

SCENARIO("One host appends a template again before log retention drops its last record")
{
    const std::unique_ptr<ITemplateFold> fold = foldWithYard();
    const TimePoint start;
    std::vector<CarryForward> hosts;
    for (std::size_t i = 0; i < Hosts; ++i) {
        hosts.emplace_back(Settings, "entry-" + std::to_string(i));
        hosts.back().noteStated("yard", 100, start);
    }
    // Counts the appends of all hosts with a constant window; all hosts learn of an append within the same 10 ms step.
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

    WHEN("the log has dropped no records and the template's record is younger than the maximum age")
    {
        CHECK(appendsUntil({0, 10'000}, start, start + seconds(59)) == 0);
    }
    WHEN("the log drops records and the template's record is in the oldest quarter of the window")
    {
        CHECK(appendsUntil({50, 300}, start, start + seconds(2)) == 1);
    }
    WHEN("the log has dropped the template's record")
    {
        CHECK(appendsUntil({101, 101}, start, start + seconds(2)) == 1);
    }
    WHEN("the template's record reaches the maximum age in a log without new records")
    {
        CHECK(appendsUntil({0, 101}, start, start + seconds(62)) == 1);
    }
    WHEN("a host never reads the record it appended")
    {
        CarryForward alone(Settings, "entry-0");
        std::size_t appends = 0;
        for (TimePoint now = start; now <= start + seconds(10); now += milliseconds(10)) {
            appends += alone.due(*fold, {101, 101}, Hosts, now).size();
        }
        THEN("the host retries the append after a delay, fewer than 12 times in 10 s")
        {
            CHECK(appends > 1);
            CHECK(appends < 12);
        }
    }
}
