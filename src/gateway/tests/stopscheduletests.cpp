#include "gateway/internal/stopschedule.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;
using namespace std::chrono_literals;

// Guards against requests that a process which was told to stop accepts or sends on, although it has to end before they are answered.
TEST_CASE("StopSchedule accepts and sends what ends before the process has to")
{
    StopSchedule schedule(8s);
    const TimePoint start{100s};

    SECTION("without a signal to stop, any request fits")
    {
        CHECK(!schedule.begun());
        CHECK(!schedule.refusesRequests(start));
        CHECK(schedule.fits(1h, 1h, start));
    }
    SECTION("after the signal, a request is accepted by the time that it takes, not by the time that its caller allows")
    {
        schedule.begin(start);
        CHECK(schedule.begun());
        CHECK(!schedule.refusesRequests(start));
        CHECK(schedule.fits(2s, 15s, start));
        CHECK(!schedule.fits(7s, 15s, start));
        CHECK(schedule.fits(7s, 3s, start)); // It ends at its caller's deadline.

        SECTION("later in the stop, less fits")
        {
            CHECK(schedule.fits(2s, 15s, start + 4s));
            CHECK(!schedule.fits(2s, 15s, start + 5s));
            CHECK(!schedule.fits(0s, 15s, start + 7s));
        }
        SECTION("new requests are refused early enough for an answer before the end")
        {
            CHECK(!schedule.refusesRequests(start + 2'300ms));
            CHECK(schedule.refusesRequests(start + 2'400ms));
        }
        SECTION("a second signal does not begin the stop anew")
        {
            schedule.begin(start + 2s);
            CHECK(schedule.refusesRequests(start + 2'400ms));
        }
        SECTION("requests are ended in the last sixth of the stop timeout, and the process exits before its end")
        {
            CHECK(schedule.untilEnding(start) >= 8s * 5 / 6);
            CHECK(schedule.untilExit(start) > schedule.untilEnding(start));
            CHECK(schedule.untilExit(start) < 8s);
            CHECK(schedule.untilRefusing(start + 1h) == 0ms);
            CHECK(schedule.untilEnding(start + 1h) == 0ms);
            CHECK(schedule.untilExit(start + 1h) == 0ms);
        }
    }
    SECTION("a signal that a late process handles counts from when it may have come")
    {
        schedule.begin(start, 2s);
        CHECK(schedule.refusesRequests(start + 400ms));
        CHECK(schedule.untilExit(start) < 6s);
    }
    SECTION("after a pause of unknown length, enough time is left to answer the open requests")
    {
        schedule.begin(start, 1h);
        CHECK(schedule.refusesRequests(start));
        CHECK(schedule.untilEnding(start) >= 2s);
        CHECK(schedule.untilExit(start) < 4s);
    }
    SECTION("without any time to stop, nothing is accepted")
    {
        StopSchedule immediate(0ms);
        immediate.begin(start);
        CHECK(immediate.refusesRequests(start));
        CHECK(!immediate.fits(0s, 1s, start));
        CHECK(immediate.untilExit(start) == 0ms);
    }
}
