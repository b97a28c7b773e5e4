#include "timeline/itimeline.h"
#include "timeline/timelinejson.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift::timeline;

SCENARIO("A merged timeline never shows an effect before its cause")
{
    GIVEN("two processes whose clocks differ by five minutes")
    {
        const std::shared_ptr<IHybridClock> ahead = makeHybridClock([] { return std::int64_t{1'000'000}; });
        const std::shared_ptr<IHybridClock> behind = makeHybridClock([] { return std::int64_t{700'000}; });
        const std::shared_ptr<ITimeline> cause = makeTimeline(ahead, "a", "1", 8);
        const std::shared_ptr<ITimeline> effect = makeTimeline(behind, "b", "1", 8);
        WHEN("the process whose clock is behind acts on a message of the other one")
        {
            cause->record(EventKind::RequestHandedOver, {.request = "r"});
            behind->observe(ahead->now());
            effect->record(EventKind::RequestResumed, {.request = "r"});
            std::vector<TimelineEvent> merged = effect->since({});
            for (const TimelineEvent &event : cause->since({})) {
                merged.push_back(event);
            }
            sortByStamp(merged);
            THEN("its event comes after the event that caused it")
            {
                REQUIRE(merged.size() == 2);
                CHECK(merged[0].kind == EventKind::RequestHandedOver);
                CHECK(merged[1].kind == EventKind::RequestResumed);
            }
        }
    }
    GIVEN("a timeline with a capacity of two events, to which three were added")
    {
        const std::shared_ptr<ITimeline> timeline = makeTimeline(makeHybridClock([] { return std::int64_t{5}; }), "a", "1", 2);
        timeline->record(EventKind::HostStarted, {});
        timeline->record(EventKind::RequestAccepted, {.request = "r1"});
        timeline->record(EventKind::RequestRefused, {.request = "r1", .detail = "over_limit"});
        THEN("the oldest event was dropped and counted")
        {
            CHECK(timeline->dropped() == 1);
            const std::vector<TimelineEvent> kept = timeline->since({});
            REQUIRE(kept.size() == 2);
            CHECK(toText(kept[1]) == "5.2 a request_refused request=r1 (over_limit)");
        }
        THEN("a page of the timeline survives a round trip through JSON")
        {
            std::size_t skipped = 0;
            const std::optional<TimelinePage> page = pageFromJson(toJson(TimelinePage{timeline->since({}), timeline->dropped()}), skipped);
            REQUIRE(page);
            CHECK(page->events.size() == 2);
            CHECK(page->dropped == 1);
            CHECK(skipped == 0);
        }
    }
}
