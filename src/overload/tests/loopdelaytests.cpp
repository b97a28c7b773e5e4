#include "overload/loopdelay.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::overload;
using std::chrono::milliseconds;

TEST_CASE("The delay of an event loop is measured by a timer and a probe that passes its queue")
{
    LoopDelay delay;
    const TimePoint start;
    CHECK(delay.estimate(start) == Duration::zero());
    delay.beginSample(start + milliseconds(50));

    SECTION("an idle loop is not late")
    {
        CHECK(delay.estimate(start + milliseconds(20)) == Duration::zero());
        delay.noteTimerRan(start + milliseconds(50));
        const DelaySample sample = delay.noteProbePassed(start + milliseconds(50));
        CHECK(sample.queue == Duration::zero());
        CHECK(sample.lateness == Duration::zero());
    }
    SECTION("time in which the process does not run counts as lateness, but not for the queue")
    {
        delay.noteTimerRan(start + milliseconds(130));
        const DelaySample sample = delay.noteProbePassed(start + milliseconds(133));
        CHECK(sample.queue == milliseconds(3));
        CHECK(sample.lateness == milliseconds(83));
    }
    SECTION("requests that are handled first after a suspension of the host have waited for it")
    {
        const TimePoint woken = start + milliseconds(3'000);
        CHECK(delay.estimate(woken) == milliseconds(2'950));
        delay.noteTimerRan(woken);
        CHECK(delay.estimate(woken) == milliseconds(2'950));
        delay.noteProbePassed(woken + milliseconds(4));

        // Requests that were read after the suspension pass the queue more than once until they are handled.
        delay.beginSample(woken + milliseconds(54));
        CHECK(delay.estimate(woken + milliseconds(5)) == milliseconds(2'954));
        delay.noteTimerRan(woken + milliseconds(54));
        CHECK(delay.estimate(woken + milliseconds(55)) == milliseconds(1));
    }
}
