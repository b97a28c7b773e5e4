#include "secondtries/timesseen.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::secondtries;
using std::chrono::milliseconds;

TEST_CASE("The times that requests waited are pooled over hosts for some seconds")
{
    const TimePoint start{};
    const std::uint32_t key = classKey({"lookup", false, 0});
    TimesSeen here;
    TimesSeen there;
    for (int i = 1; i <= 100; ++i) {
        there.note(key, milliseconds(i), false, start);
    }
    there.note(key, milliseconds(200), true, start);
    REQUIRE(here.apply("b/1", there.content(start), start));

    SECTION("a host knows what another one has told, to the width of a bucket")
    {
        const TimeCounts counts = here.counts(key, start);
        CHECK(counts.total() == 101);
        CHECK(counts.quantile(0.5) >= milliseconds(50));
        CHECK(counts.quantile(0.5) <= milliseconds(61));
        CHECK(counts[TimeCounts::bucketOf(milliseconds(200))].left == 1);
        CHECK(here.content(start).empty());

        SECTION("told once more, it counts once")
        {
            REQUIRE(here.apply("b/1", there.content(start), start));
            CHECK(here.counts(key, start).total() == 101);
        }
        SECTION("requests of another size or kind are counted apart")
        {
            CHECK(here.counts(classKey({"lookup", true, 0}), start).total() == 0);
            CHECK(here.counts(classKey({"lookup", false, 5'000}), start).total() == 0);
            CHECK(classKey({"lookup", true, 5'000}) == classKey({"lookup", true, 6'000}));
        }
        SECTION("what is old, or from a host that is gone, no longer counts")
        {
            CHECK(here.counts(key, start + std::chrono::seconds(16)).total() == 0);
            CHECK(there.content(start + std::chrono::seconds(19)).empty());
            REQUIRE(here.apply("b/1", there.content(start), start));
            here.forget("b/1");
            CHECK(here.counts(key, start).total() == 0);
        }
    }
    SECTION("content that is malformed or out of range is refused without an effect")
    {
        for (const std::string text :
             {"x", "1f", "1f:", "1f:64=1", "1f:3=100001", "1f:3=1+", "1f:3=1+x", "1f:-1=2", "1f:3=1,,4=1", "1ffffffff:3=1", "1f:3=1;;"}) {
            INFO(text);
            CHECK(!here.apply("b/1", text, start));
        }
        CHECK(here.counts(key, start).total() == 101);
    }
    SECTION("the content stays small with many classes of requests")
    {
        for (std::uint64_t tokens = 1; tokens < 1'000'000; tokens *= 2) {
            for (int i = 1; i < 60'000; i += 97) {
                there.note(classKey({"engines", true, tokens}), milliseconds(i), false, start);
            }
        }
        CHECK(there.content(start).size() < 2'048);
        CHECK(here.apply("b/1", there.content(start), start));
    }
}

TEST_CASE("How much longer a request has to wait follows from those that waited longer")
{
    TimeCounts counts;
    counts[TimeCounts::bucketOf(milliseconds(10))].answered = 95;
    SECTION("when hardly any did, it is taken to wait as long again")
    {
        CHECK(counts.meanRest(milliseconds(20)) == milliseconds(20));
    }
    SECTION("it is the mean of their further times")
    {
        counts[TimeCounts::bucketOf(milliseconds(100))].answered = 5;
        CHECK(counts.meanRest(milliseconds(20)) > milliseconds(65));
        CHECK(counts.meanRest(milliseconds(20)) < milliseconds(85));
    }
    SECTION("upstreams that were left count as not having answered by then")
    {
        counts[TimeCounts::bucketOf(milliseconds(40))].left = 4;
        counts[TimeCounts::bucketOf(milliseconds(40))].answered = 1;
        CHECK(counts.meanRest(milliseconds(20)) > milliseconds(65));
    }
    SECTION("each time falls into the bucket whose bounds enclose it")
    {
        for (std::size_t i = 1; i < TimeCounts::BucketCount; ++i) {
            CHECK(TimeCounts::bucketOf(TimeCounts::upperBound(i)) == i);
            CHECK(TimeCounts::bucketOf(TimeCounts::upperBound(i - 1) + Duration(1)) == i);
        }
        CHECK(TimeCounts::bucketOf(std::chrono::hours(1)) == TimeCounts::BucketCount - 1);
    }
}
