#include "limits/upstreampauses.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::limits;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
constexpr std::chrono::seconds Longest{30};

}

TEST_CASE("An upstream that asks for a pause gets no requests until its end")
{
    int begun = 0;
    int ended = 0;
    UpstreamPauses pauses(Longest, [&begun, &ended](const std::string &, PauseChange change, Duration) { ++(change == PauseChange::Begun ? begun : ended); });
    pauses.note("x", std::chrono::seconds(2), Start);
    REQUIRE(pauses.remaining("x", Start + std::chrono::seconds(1)) == Duration(std::chrono::seconds(1)));
    REQUIRE(!pauses.remaining("y", Start));
    CHECK(begun == 1);

    SECTION("it ends by itself")
    {
        CHECK(!pauses.remaining("x", Start + std::chrono::seconds(2)));
        pauses.expire(Start + std::chrono::seconds(2));
        CHECK(ended == 1);
        CHECK(pauses.paused() == 0);
    }
    SECTION("a later answer can prolong it, but not shorten it")
    {
        pauses.note("x", std::chrono::seconds(3), Start + std::chrono::seconds(1));
        pauses.note("x", std::chrono::milliseconds(100), Start + std::chrono::seconds(1));
        CHECK(pauses.remaining("x", Start + std::chrono::seconds(3)) == Duration(std::chrono::seconds(1)));
        CHECK(begun == 1);
    }
    SECTION("a time beyond the longest pause is bounded, and one of zero is no pause")
    {
        pauses.note("y", std::chrono::hours(24), Start);
        CHECK(pauses.remaining("y", Start) == Duration(Longest));
        pauses.note("z", Duration::zero(), Start);
        CHECK(!pauses.remaining("z", Start));
    }
}
