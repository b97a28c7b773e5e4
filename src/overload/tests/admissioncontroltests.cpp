#include "overload/admissioncontrol.h"
#include "overload/tests/simulatedhost.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift;
using namespace rosemaryshift::overload;
using namespace rosemaryshift::overload::testing;
using std::chrono::milliseconds;

namespace {

/// Part of the callers of @p kind that arrived in a span and were served.
double servedPart(const SimulatedHost &host, milliseconds from, milliseconds until, std::size_t kind = 0)
{
    double arrived = 0;
    double served = 0;
    for (const Caller &caller : host.callers()) {
        if (caller.kind == kind && caller.arrived >= TimePoint(from) && caller.arrived < TimePoint(until)) {
            ++arrived;
            served += caller.served ? 1 : 0;
        }
    }
    return served / arrived;
}

/// Callers served per second in a span.
double goodput(const SimulatedHost &host, milliseconds from, milliseconds until)
{
    const std::ptrdiff_t served = std::ranges::count_if(host.callers(), [from, until](const Caller &caller) {
        return caller.served && *caller.served >= TimePoint(from) && *caller.served < TimePoint(until);
    });
    return static_cast<double>(served) / std::chrono::duration<double>(until - from).count();
}

}

TEST_CASE("A host that can serve its callers admits all of them")
{
    const bool hasQuota = GENERATE(false, true);
    CAPTURE(hasQuota);
    SimulatedHost host(hasQuota);
    host.addCallers(0.8 * SimulatedHost::Capacity, milliseconds(10'000));
    host.play();
    CHECK(host.overloads() == 0);
    CHECK(host.rejections() == 0);
    CHECK(servedPart(host, milliseconds(0), milliseconds(10'000)) == 1);
}

// Guards against a host that stays overloaded by callers who give up and come again, after the load has fallen to what it can serve.
TEST_CASE("A host serves during an overload, and recovers from it by itself")
{
    const bool hasQuota = GENERATE(false, true);
    CAPTURE(hasQuota);
    SimulatedHost host(hasQuota);
    host.addCallers(0.5 * SimulatedHost::Capacity, milliseconds(1'000));
    host.addCallers(2 * SimulatedHost::Capacity, milliseconds(3'000), 3);
    host.addCallers(0.5 * SimulatedHost::Capacity, milliseconds(6'000));
    host.play();
    CHECK(goodput(host, milliseconds(2'000), milliseconds(4'000)) >= 0.5 * SimulatedHost::Capacity);
    CHECK(servedPart(host, milliseconds(6'000), milliseconds(10'000)) >= 0.95);

    SECTION("no kind of request is starved")
    {
        for (const std::size_t kind : {0U, 1U, 2U}) {
            for (const std::size_t other : {0U, 1U, 2U}) {
                CHECK(servedPart(host, milliseconds(1'000), milliseconds(4'000), kind)
                      >= 0.5 * servedPart(host, milliseconds(1'000), milliseconds(4'000), other));
            }
        }
    }
    SECTION("the overload ends")
    {
        REQUIRE(host.overloadEnded());
        CHECK(*host.overloadEnded() <= TimePoint(milliseconds(8'000)));
    }
}

TEST_CASE("Requests are admitted by the state of the host and the time left to their callers")
{
    std::vector<OverloadReport> reports;
    AdmissionControl control([&reports](const OverloadReport &report) { reports.push_back(report); });
    TimePoint now;
    const auto note = [&control, &now](milliseconds queue, milliseconds lateness) {
        now += milliseconds(100);
        control.noteDelay({queue, lateness}, now);
    };

    SECTION("a request whose deadline has passed is rejected without a time to come back")
    {
        const std::optional<Rejection> rejection = control.admit(Duration::zero(), now);
        REQUIRE(rejection);
        CHECK(rejection->reason == RejectionReason::DeadlinePassed);
        CHECK_FALSE(rejection->retryAfter);
        CHECK_FALSE(control.admit(milliseconds(500), now));
    }
    SECTION("a host that wakes after a suspension, or ran one long handler, is not overloaded")
    {
        note(milliseconds(300), milliseconds(3'000));
        note(milliseconds(0), milliseconds(0));
        note(milliseconds(300), milliseconds(300));
        note(milliseconds(0), milliseconds(0));
        CHECK(reports.empty());
    }
    SECTION("a host that is late at each end of its processor quota, but empties its queue, is not overloaded")
    {
        for (int period = 0; period < 100; ++period) {
            note(milliseconds(90), milliseconds(95));
            note(milliseconds(0), milliseconds(0));
        }
        CHECK(reports.empty());
    }
    SECTION("a host whose queue stays filled and late limits the waiting requests until it rejects none")
    {
        for (int request = 0; request < 100; ++request) {
            CHECK_FALSE(control.admit(milliseconds(500), now));
        }
        for (int sample = 0; sample < 6; ++sample) {
            note(milliseconds(60), milliseconds(60));
        }
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().change == OverloadChange::Begun);
        CHECK(reports.front().waiting == 100);
        const std::optional<Rejection> rejection = control.admit(milliseconds(500), now);
        REQUIRE(rejection);
        CHECK(rejection->reason == RejectionReason::HostOverloaded);
        CHECK(rejection->retryAfter);

        for (int request = 0; request < 100; ++request) {
            control.noteAnswering();
        }
        CHECK_FALSE(control.admit(milliseconds(500), now));
        for (int sample = 0; sample < 12; ++sample) {
            note(milliseconds(0), milliseconds(0));
        }
        REQUIRE(reports.size() == 2);
        CHECK(reports.back().change == OverloadChange::Ended);
        CHECK(reports.back().rejected == 1);
    }
}
