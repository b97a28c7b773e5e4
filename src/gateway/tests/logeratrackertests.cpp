#include "gateway/internal/logeratracker.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemaryshift;
using namespace rosemaryshift::gateway;

// Guards against a log that was restored from a copy being taken for the one before, or an answer of the one before for one of the restored log.
TEST_CASE("The era of the log rises with the first answer that states a later one")
{
    std::vector<std::uint64_t> risen;
    LogEraTracker tracker([&risen](std::uint64_t era) { risen.push_back(era); });

    SECTION("the first era that a process sees is no rise, whatever its number")
    {
        const std::uint64_t first = GENERATE(0, 1, 7);
        CHECK(tracker.note(first));
        CHECK(tracker.note(first));
        CHECK(tracker.current() == first);
        CHECK(tracker.rises() == 0);

        SECTION("a later one is, once, also when some were missed")
        {
            CHECK(tracker.note(first + 2));
            CHECK(tracker.note(first + 2));
            CHECK(risen == std::vector<std::uint64_t>{first + 2});

            SECTION("an answer of an earlier era that comes after it is rejected")
            {
                CHECK(!tracker.note(first));
                CHECK(!tracker.note(first + 1));
                CHECK(tracker.current() == first + 2);
                CHECK(tracker.rises() == 1);
            }
            SECTION("an answer that states no era says nothing")
            {
                CHECK(tracker.note(std::nullopt));
                CHECK(tracker.current() == first + 2);
            }
        }
    }
    SECTION("a log that states none never rises, until it begins to state one")
    {
        CHECK(tracker.note(std::nullopt));
        CHECK(tracker.note(std::nullopt));
        CHECK(tracker.rises() == 0);
        CHECK(!tracker.current());
        CHECK(tracker.note(3));
        CHECK(tracker.rises() == 1);
    }
}
