#include "gateway/internal/streampauses.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(100) + std::chrono::milliseconds(milliseconds));
}

}

TEST_CASE("The longest pause of a stream is the longest time between two of its events")
{
    StreamPauses pauses;
    pauses.noteEvents(at(0));
    CHECK(!pauses.longest());
    pauses.noteEvents(at(30));
    pauses.noteEvents(at(130));
    pauses.noteEvents(at(160));
    CHECK(pauses.longest() == std::chrono::milliseconds(100));
    CHECK(pauses.upstreamGaps() == 3);
    CHECK(pauses.upstreamTotal() == std::chrono::milliseconds(160));

    SECTION("a change of the upstream is a pause of the stream, but no sample of the next upstream")
    {
        pauses.changeUpstream();
        CHECK(pauses.upstreamGaps() == 0);
        CHECK(pauses.upstreamTotal() == Duration(0));
        pauses.noteEvents(at(460));
        pauses.noteEvents(at(480));
        CHECK(pauses.longest() == std::chrono::milliseconds(300));
        CHECK(pauses.upstreamGaps() == 1);
        CHECK(pauses.upstreamTotal() == std::chrono::milliseconds(20));
    }
}
