#include "directory/runcontinuity.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::directory;
using namespace std::chrono_literals;

namespace {

constexpr Duration ListingDelay = 2s;

Upstream upstream(TimePoint firstSeen)
{
    Upstream upstream;
    upstream.entry.instance = "model-a";
    upstream.firstSeen = firstSeen;
    return upstream;
}

}

TEST_CASE("An upstream whose connections were lost is not certain to be the listed run until a new run would be listed")
{
    RunContinuity continuity(ListingDelay);
    const TimePoint start{100s};
    const Upstream listed = upstream(start);
    CHECK(continuity.certain(listed));
    continuity.noteConnectionsLost("model-a", start + 1s);
    CHECK(!continuity.certain(listed));

    SECTION("it stays so while it does not answer, however often the list is read")
    {
        continuity.noteListRead(start + 30s);
        CHECK(!continuity.certain(listed));
    }
    SECTION("it is certain again once the list was read long enough after its first answer")
    {
        continuity.noteAnswer("model-a", start + 3s);
        continuity.noteAnswer("model-a", start + 6s);
        continuity.noteListRead(start + 4s);
        CHECK(!continuity.certain(listed));
        continuity.noteListRead(start + 5s + 1ms);
        CHECK(continuity.certain(listed));
    }
    SECTION("the time begins again when connections are lost once more")
    {
        continuity.noteAnswer("model-a", start + 3s);
        continuity.noteConnectionsLost("model-a", start + 4s);
        continuity.noteListRead(start + 6s);
        CHECK(!continuity.certain(listed));
    }
    SECTION("a run that was listed after that is certain")
    {
        CHECK(continuity.certain(upstream(start + 2s)));
    }
    SECTION("an upstream that is forgotten starts anew")
    {
        continuity.forget("model-a");
        CHECK(continuity.certain(listed));
    }
}
