#include "streams/streamorigins.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::streams;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
const Origin First{"models", "v1"};
const Origin Second{"models", "v2"};
const std::set<std::string> Models{"models"};
constexpr std::size_t NoLimit = 1000;

}

TEST_CASE("The key of a stream depends on the workspace and on the attempt that began it")
{
    CHECK(streamKey("yard", "a1") == streamKey("yard", "a1"));
    CHECK(streamKey("yard", "a1") != streamKey("yard", "a2"));
    CHECK(streamKey("yard", "a1") != streamKey("dispatch", "a1"));
    CHECK(streamKey("yard", "") != streamKey("", "yard"));
}

TEST_CASE("A host finds the origins of its own streams and of those that others report")
{
    StreamOrigins origins;
    origins.noteBegan(1, First, "model-a", Start);
    CHECK(origins.find(1) == First);
    CHECK(!origins.find(2));

    SECTION("a report of another host passes through its encoding unchanged")
    {
        OriginReport report;
        report.add(2, Second);
        report.add(0xfedcba9876543210U, First);
        report.add(3, {"models", ""});
        const std::optional<OriginReport> decoded = originReport(toJson(report));
        REQUIRE(decoded);
        CHECK(*decoded == report);
        origins.apply(*decoded, Start);
        CHECK(origins.find(2) == Second);
        CHECK(origins.find(0xfedcba9876543210U) == First);
        REQUIRE(origins.find(3));
        CHECK(!origins.find(3)->certain());
    }
    SECTION("a stream whose first event waits for its record is added once to those that are recorded behind")
    {
        origins.noteBegan(2, Second, "model-b", Start);
        OriginReport report = origins.unrecorded(Models, 1);
        const std::vector<StreamKey> waiting{1, 2, 3};
        report.merge(origins.report(waiting));
        CHECK(report.size() == 2);
        CHECK(!origins.isRecorded(2));
        origins.noteRecorded(report);
        CHECK(origins.isRecorded(1));
        CHECK(origins.isRecorded(2));
        CHECK(!origins.isRecorded(3));
    }
    SECTION("an origin is uncertain when reports contradict each other")
    {
        OriginReport report;
        report.add(1, Second);
        origins.apply(report, Start);
        CHECK(!origins.find(1)->certain());
    }
    SECTION("an origin is uncertain when a caller uses the id of an attempt twice, at different versions")
    {
        origins.noteBegan(1, First, "model-a", Start);
        CHECK(origins.find(1) == First);
        origins.noteBegan(1, Second, "model-b", Start);
        CHECK(!origins.find(1)->certain());
    }
    SECTION("an origin is uncertain when its upstream turns out to have restarted with another version before")
    {
        origins.noteBegan(2, First, "model-a", Start + 5s);
        origins.noteBegan(3, First, "model-b", Start + 5s);
        origins.noteRun("model-a", "v2", Start + 3s);
        CHECK(origins.find(1) == First);
        CHECK(!origins.find(2)->certain());
        CHECK(origins.find(3) == First);
    }
    SECTION("streams are forgotten when callers no longer resume them")
    {
        origins.noteBegan(2, First, "model-a", Start);
        origins.renew(2, Start + 60s);
        origins.expire(Start + 121s);
        CHECK(!origins.find(1));
        CHECK(origins.find(2) == First);
        origins.expire(Start + 181s);
        CHECK(origins.size() == 0);
        CHECK(!origins.hasUnrecorded("models"));
    }
}

TEST_CASE("A host records each of its streams once")
{
    StreamOrigins origins;
    origins.noteBegan(1, First, "model-a", Start);
    origins.noteBegan(2, Second, "model-b", Start);
    origins.noteBegan(3, {"others", "v1"}, "other", Start);
    const OriginReport report = origins.unrecorded(Models, NoLimit);
    CHECK(report.size() == 2);
    CHECK(origins.unrecorded(Models, 1).size() == 1);

    SECTION("those that are recorded are not reported again")
    {
        origins.noteRecorded(report);
        CHECK(origins.unrecorded(Models, NoLimit).size() == 0);
        CHECK(origins.unrecorded({"others"}, NoLimit).size() == 1);
    }
    SECTION("one that becomes uncertain while it is recorded is recorded again")
    {
        origins.noteRun("model-a", "v2", Start);
        origins.noteRecorded(report);
        OriginReport expected;
        expected.add(1, {"models", ""});
        CHECK(origins.unrecorded(Models, NoLimit) == expected);
    }
    SECTION("streams that other hosts have reported are theirs to record")
    {
        origins.noteRecorded(report);
        OriginReport other;
        other.add(9, First);
        origins.apply(other, Start);
        CHECK(origins.unrecorded(Models, NoLimit).size() == 0);
    }
}

TEST_CASE("A malformed report of origins is rejected whole")
{
    Json::Value value;
    value["models"]["v1"].append("12ab");
    CHECK(originReport(value));
    SECTION("a key that is no number")
    {
        value["models"]["v1"].append("xyz");
        CHECK(!originReport(value));
    }
    SECTION("a list that is none")
    {
        value["models"]["v2"] = 7;
        CHECK(!originReport(value));
    }
    SECTION("a service that is none")
    {
        value["others"] = "v1";
        CHECK(!originReport(value));
    }
    SECTION("no object at all")
    {
        CHECK(!originReport(Json::Value("text")));
    }
}

// Guards against streams whose records the platform's log has lost, and that nobody records again (review/3).
TEST_CASE("After records were lost, a host records the streams that it has passed on anew")
{
    StreamOrigins origins;
    origins.noteBegan(1, First, "model-a", Start);
    origins.noteBegan(2, Second, "model-b", Start + 1s);
    OriginReport ofOthers;
    ofOthers.add(3, First);
    origins.apply(ofOthers, Start + 1s);
    origins.noteRecorded(origins.unrecorded(Models, NoLimit));
    REQUIRE(origins.unrecorded(Models, NoLimit).size() == 0);

    SECTION("once, and without those of other hosts")
    {
        origins.noteRecordsLost();
        origins.noteRecordsLost();
        OriginReport expected;
        expected.add(1, First);
        expected.add(2, Second);
        CHECK(origins.unrecorded(Models, NoLimit) == expected);
        origins.noteRecorded(expected);
        CHECK(!origins.hasUnrecorded("models"));
    }
    SECTION("and those that are still to be recorded stay so")
    {
        origins.noteBegan(4, First, "model-a", Start + 2s);
        origins.noteRecordsLost();
        CHECK(origins.unrecorded(Models, NoLimit).size() == 3);
    }
    SECTION("but not those that callers no longer resume")
    {
        origins.expire(Start + 121s);
        origins.noteRecordsLost();
        CHECK(origins.unrecorded(Models, NoLimit).size() == 0);
    }
}
