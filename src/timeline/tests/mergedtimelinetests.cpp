#include "timeline/explanation.h"
#include "timeline/itimeline.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rosemaryshift::timeline;

namespace {

TimelineEvent eventOf(const std::string &host, std::int64_t wallMs, std::uint64_t sequence, EventKind kind, EventFields fields)
{
    return {{wallMs, 0}, host, "1", sequence, kind, std::move(fields)};
}

}

SCENARIO("A merged timeline shows lost events as gaps at their places")
{
    GIVEN("a process that dropped its oldest events and one with missing events in between")
    {
        const TimelinePage dropped{{eventOf("a", 10, 3, EventKind::RequestAccepted, {.request = "r1", .workspace = "yard"})}, 3};
        const TimelinePage unreadable{{eventOf("b", 5, 0, EventKind::HostStarted, {}), eventOf("b", 20, 4, EventKind::HostReady, {})}, 0};
        const std::vector<MergedEvent> merged = mergedEvents(std::vector{dropped, unreadable});
        THEN("each gap is shown directly before the event that follows it")
        {
            CHECK(textLines(merged, {})
                  == std::vector<std::string>{"5.0 b host_started",
                                              "10.0 a gap (3 events lost before this)",
                                              "10.0 a request_accepted request=r1 workspace=yard",
                                              "20.0 b gap (3 events lost before this)",
                                              "20.0 b host_ready"});
        }
        THEN("a filter leaves out events but shows every gap")
        {
            CHECK(textLines(merged, {"r1", ""}).size() == 3);
            CHECK(textLines(merged, {"", "other"}).size() == 2);
            CHECK_THAT(jsonLines(merged, {"nobody", ""}).front(), Catch::Contains(R"("kind":"gap","lost":3)"));
        }
    }
    GIVEN("a page that begins after the oldest event that its process stores")
    {
        const TimelinePage page{{eventOf("a", 10, 7, EventKind::HostReady, {})}, 3};
        THEN("no event is shown as lost")
        {
            CHECK(mergedEvents(std::vector{page}).front().lostBefore == 0);
        }
    }
}

SCENARIO("A start time is parsed from a stamp or a duration before now")
{
    constexpr std::int64_t Now = 10'000'000;
    CHECK(parseSince("12.3", Now) == Stamp{12, 3});
    CHECK(parseSince("90s", Now) == Stamp{Now - 90'000, 0});
    CHECK(parseSince("2m", Now) == Stamp{Now - 120'000, 0});
    CHECK(parseSince("99h", Now) == Stamp{0, 0});
    CHECK_FALSE(parseSince("soon", Now));
    CHECK_FALSE(parseSince("m", Now));
}

SCENARIO("The merged timeline keeps the causal order of hosts whose clocks differ by minutes")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    GIVEN("five hosts, whose clocks are up to ten minutes off, hand over one request at random")
    {
        constexpr std::size_t Hosts = 5;
        constexpr std::size_t Steps = 400;
        constexpr std::int64_t MaxSkewMs = 600'000;
        std::int64_t trueMs = 1'000'000'000;
        std::vector<std::shared_ptr<IHybridClock>> clocks;
        std::vector<std::shared_ptr<ITimeline>> timelines;
        for (std::size_t i = 0; i < Hosts; ++i) {
            const std::int64_t skew = std::uniform_int_distribution<std::int64_t>(-MaxSkewMs, MaxSkewMs)(random);
            clocks.push_back(makeHybridClock([&trueMs, skew] { return trueMs + skew; }));
            timelines.push_back(makeTimeline(clocks.back(), "host-" + std::to_string(i), "1", Steps));
        }
        std::size_t holder = 0;
        for (std::size_t step = 0; step < Steps; ++step) {
            timelines[holder]->record(EventKind::RequestHandedOver, {.request = "r", .detail = std::to_string(step)});
            const std::size_t next = std::uniform_int_distribution<std::size_t>(0, Hosts - 1)(random);
            clocks[next]->observe(clocks[holder]->now());
            trueMs += std::uniform_int_distribution<std::int64_t>(0, 2)(random);
            holder = next;
        }
        std::vector<TimelinePage> pages;
        for (const std::shared_ptr<ITimeline> &timeline : timelines) {
            pages.push_back({timeline->since({}), timeline->dropped()});
        }
        THEN("the merged order is the order of the handovers")
        {
            const std::vector<MergedEvent> merged = mergedEvents(pages);
            REQUIRE(merged.size() == Steps);
            for (std::size_t step = 0; step < Steps; ++step) {
                REQUIRE(merged[step].event.fields.detail == std::to_string(step));
            }
        }
    }
}

SCENARIO("The course of a request is explained in sentences")
{
    GIVEN("a request that was queued, failed once and completed, and another request")
    {
        const EventFields other{.request = "r2", .workspace = "yard"};
        const TimelinePage page{
            {eventOf("entry-1", 100, 2, EventKind::RequestAccepted, {.request = "r1", .workspace = "yard", .detail = "question for yard-small"}),
             eventOf("entry-1", 100, 3, EventKind::RequestQueued, {.request = "r1", .detail = "2 of the workspace ahead"}),
             eventOf("entry-1", 101, 4, EventKind::RequestAccepted, other),
             eventOf("entry-1", 105, 5, EventKind::RequestRouted, {.request = "r1", .attempt = "7", .upstream = "engine-1", .detail = "3 candidates"}),
             eventOf("entry-1", 130, 6, EventKind::AttemptEnded, {.request = "r1", .attempt = "7", .upstream = "engine-1", .detail = "broken: closed"}),
             eventOf("entry-1", 190, 9, EventKind::RequestCompleted, {.request = "r1", .attempt = "8"})},
            2};
        THEN("each step and each gap is reported with the time since the request's first event")
        {
            CHECK(explainRequest(mergedEvents(std::vector{page}), "r1")
                  == std::vector<std::string>{
                      "+0 ms: 2 events of entry-1 are lost here; some may be of this request.",
                      "+0 ms: entry-1 accepted the request of workspace yard (question for yard-small).",
                      "+0 ms: it had to wait for a slot (2 of the workspace ahead).",
                      "+5 ms: it was sent to engine-1 as attempt 7 (3 candidates).",
                      "+30 ms: attempt 7 at engine-1 ended (broken: closed).",
                      "+90 ms: 2 events of entry-1 are lost here; some may be of this request.",
                      "+90 ms: the request completed with its whole answer.",
                  });
        }
        THEN("a request that no event names has no explanation")
        {
            CHECK(explainRequest(mergedEvents(std::vector{page}), "nobody").empty());
        }
    }
}
