#include "timeline/gatewaylog.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemaryshift::timeline;

namespace {

std::string makeLine(const std::string &host, std::int64_t wallMs, std::int64_t steadyMs, const std::string &event, const std::string &fields = {})
{
    return R"({"time_ms":)" + std::to_string(wallMs) + R"(,"steady_ms":)" + std::to_string(steadyMs) + R"(,"host":")" + host + R"(","start":"s1","event":")"
        + event + '"' + fields + "}\n";
}

const std::string Offered
    = R"(,"request":"r1","route":"plans","service":"engines","instance":"i-1","expected_ms":120,"uncached_tokens":10,"runner_up":"i-2","runner_up_ms":150,"left_ms":3000,"resume_after":"")";
const std::string OfferFailed = R"(,"request":"r1","instance":"i-1","reason":"no_answer: nothing came within the timeout","run":"offered")";
const std::string Ended
    = R"(,"request":"r1","kind":"non_idempotent","route":"plans","workspace":"yard","configuration":7,"configuration_age_ms":300,"outcome":"failed","status":504,"reason":"no_answer: nothing came within the timeout","run":"offered","offers":1,"instance":"i-1","first_ms":-1,"retry_after_ms":-1,"took_ms":3000)";

bool contains(const std::vector<std::string> &explanation, const std::string &part)
{
    return std::any_of(explanation.begin(), explanation.end(), [&part](const std::string &sentence) { return sentence.find(part) != std::string::npos; });
}

/// Index of the first sentence that contains @p part; the number of sentences when there is none.
std::size_t indexOf(const std::vector<std::string> &explanation, const std::string &part)
{
    const auto found
        = std::find_if(explanation.begin(), explanation.end(), [&part](const std::string &sentence) { return sentence.find(part) != std::string::npos; });
    return static_cast<std::size_t>(found - explanation.begin());
}

}

TEST_CASE("A failed request is explained from the logs of several hosts")
{
    const std::string first = makeLine("entry-1", 50'000, 1'000, "offered", Offered) + makeLine("entry-1", 53'000, 4'000, "offer_failed", OfferFailed)
        + makeLine("entry-1", 53'000, 4'000, "request_ended", Ended);
    const std::string second = makeLine("entry-2",
                                        51'000,
                                        9'000,
                                        "upstreams_ordered",
                                        R"(,"service":"engines","zone":"eger","reclaimable":true,"replicas":4,"done":false,"reason":"none")")
        + makeLine("entry-2", 51'500, 9'500, "offered", R"(,"request":"r2","instance":"i-9")");

    SECTION("the explanation names the upstream, how far the request ran, and the orders of upstreams")
    {
        const std::vector<std::string> explanation = explainFromLogs(mergedLog({{"a.log", first}, {"b.log", second}}), "r1");
        CHECK(contains(explanation, "entry-1: It was sent to i-1 of engines, expected to begin its answer after 120 ms, with 3000 ms left; next best was i-2"));
        CHECK(contains(explanation, "no_answer: nothing came within the timeout); it may have run."));
        CHECK(contains(explanation, "ended as 'failed' with status 504 after 3000 ms"));
        CHECK(contains(explanation, "entry-2: The holder of the duties ordered 4 upstreams of engines in eger, which failed: none."));
        CHECK(!contains(explanation, "i-9"));
        CHECK(!contains(explanation, "Missing"));
    }
    SECTION("the prefix that a log collector adds to a line is ignored")
    {
        std::string collected;
        for (const char *prefix : {"   9.81 entry-1 ", "2026-03-02 entry-1 out: ", ""}) {
            collected += prefix + makeLine("entry-1", 50'000, 1'000, "offered", Offered);
        }
        CHECK(mergedLog({{"a.log", collected}}).lines.size() == 3);
    }
    SECTION("events around the request are included from the hosts that took part only")
    {
        const std::string around = makeLine("entry-1", 49'000, 0, "log_lost", R"(,"topic":"upstreams","reason":"timeout")")
            + makeLine("entry-1", 52'000, 3'000, "upstream", R"(,"instance":"i-1","service":"engines","change":"removed","zone":"eger")")
            + makeLine("entry-2", 52'000, 3'000, "log_lost", R"(,"topic":"configuration","reason":"timeout")");
        const std::vector<std::string> explanation = explainFromLogs(mergedLog({{"a.log", first + around}}), "r1");
        CHECK(contains(explanation, "The platform's log of upstreams was unreachable (timeout)."));
        CHECK(contains(explanation, "Upstream i-1 was removed."));
        CHECK(!contains(explanation, "log of configuration"));
        CHECK(indexOf(explanation, "was unreachable") < indexOf(explanation, "was sent to"));
        CHECK(indexOf(explanation, "i-1 was removed") < indexOf(explanation, "ended as"));
    }
    SECTION("a request that no line names has no explanation")
    {
        CHECK(explainFromLogs(mergedLog({{"a.log", first}}), "r7").empty());
        CHECK(explainFromLogs(mergedLog({{"a.log", first}}), "").empty());
        CHECK(explainFromLogs(mergedLog({}), "r1").empty());
    }
}

TEST_CASE("Missing and unreadable log lines are reported")
{
    SECTION("unreadable lines are counted for each file")
    {
        const std::string damaged = makeLine("entry-1", 50'000, 1'000, "offered", Offered) + "{\"time_ms\":1,\n" + "no line at all\n" + R"({"host":"entry-1"})"
            + "\n" + makeLine("entry-1", 53'000, 4'000, "request_ended", Ended);
        CHECK(contains(explainFromLogs(mergedLog({{"a.log", damaged}}), "r1"), "3 lines of a.log cannot be read."));
    }
    SECTION("fields of an unexpected type are ignored")
    {
        const std::string odd = makeLine("entry-1", 50'000, 1'000, "offered", Offered)
            + makeLine("entry-1", 50'100, 1'100, "upstreams_ordered", R"(,"service":"engines","zone":7,"replicas":"four","done":"yes")")
            + makeLine("entry-1", 50'200, 1'200, "configuration_in_force", R"(,"version":{})")
            + makeLine("entry-1", 53'000, 4'000, "request_ended", R"(,"request":"r1","outcome":4,"offers":[],"took_ms":null)");
        CHECK(contains(explainFromLogs(mergedLog({{"a.log", odd}}), "r1"), "It was sent to i-1"));
    }
    SECTION("the log of the host ends before the end of the request")
    {
        const std::string cut = makeLine("entry-1", 50'000, 1'000, "offered", Offered);
        CHECK(contains(explainFromLogs(mergedLog({{"a.log", cut}}), "r1"), "Missing: how it ended. The log of entry-1 ends here"));

        SECTION("the log of the host goes on without the end of the request")
        {
            const std::string goesOn = cut + makeLine("entry-1", 60'000, 11'000, "peer", R"(,"peer":"entry-2","change":"silent")");
            CHECK(contains(explainFromLogs(mergedLog({{"a.log", goesOn}}), "r1"), "goes on, so that the line was left out or lost"));
        }
    }
    SECTION("the line of an offer is missing, and the log reports dropped lines")
    {
        const std::string sampled
            = makeLine("entry-1", 53'000, 4'000, "request_ended", Ended) + makeLine("entry-1", 53'500, 4'500, "lines_dropped", R"(,"lines":12)");
        const std::vector<std::string> explanation = explainFromLogs(mergedLog({{"a.log", sampled}}), "r1");
        CHECK(contains(explanation, "Missing: 1 of 1 offers to upstreams."));
        CHECK(contains(explanation, "12 were left out of the log"));
    }
}

TEST_CASE("Lines are in the right order although clocks jump or differ")
{
    SECTION("the wall clock jumps between two lines of a process")
    {
        const std::string jumped = makeLine("entry-1", 50'000, 1'000, "offered", Offered) + makeLine("entry-1", 47'000, 4'000, "offer_failed", OfferFailed)
            + makeLine("entry-1", 53'100, 4'100, "request_ended", Ended);
        const std::vector<std::string> explanation = explainFromLogs(mergedLog({{"a.log", jumped}}), "r1");
        CHECK(indexOf(explanation, "was sent to") < indexOf(explanation, "brought no whole answer"));
        CHECK(indexOf(explanation, "brought no whole answer") < indexOf(explanation, "ended as"));
        CHECK(contains(explanation, "   +0.000 s entry-1"));
        CHECK(contains(explanation, "   +3.000 s entry-1"));
    }
    SECTION("a host that started half a minute later is not treated as one whose clock differs")
    {
        const std::string version = R"(,"source":"log","routes":1,"version":1)";
        const std::string one = makeLine("entry-1", 20'000, 0, "configuration_in_force", version) + makeLine("entry-1", 50'000, 30'000, "offered", Offered);
        const std::string two = makeLine("entry-2", 49'000, 1'000, "configuration_in_force", version);
        CHECK(mergedLog({{"a.log", one}, {"b.log", two}}).faults.empty());
    }
    SECTION("a host's clock that is a minute ahead is corrected by the configurations in force on both hosts")
    {
        std::string one = makeLine("entry-1", 50'000, 21'000, "offered", Offered) + makeLine("entry-1", 53'000, 24'000, "request_ended", Ended);
        std::string two
            = makeLine("entry-2", 111'000, 19'000, "upstreams_ordered", R"(,"service":"engines","zone":"eger","replicas":4,"done":true,"reason":"")");
        for (int version = 1; version <= 3; ++version) {
            const std::string fields = R"(,"source":"log","routes":1,"version":)" + std::to_string(version);
            one += makeLine("entry-1", 40'000 + version * 1'000, 11'000 + version * 1'000, "configuration_in_force", fields);
            two += makeLine("entry-2", 100'000 + version * 1'000, 8'000 + version * 1'000, "configuration_in_force", fields);
        }
        const GatewayLog log = mergedLog({{"b.log", two}, {"a.log", one}});
        REQUIRE(log.faults.size() == 1);
        CHECK(log.faults.front().find("The clock of entry-2 is about 60000 ms ahead of that of entry-1") == 0);
        CHECK(contains(explainFromLogs(log, "r1"), "ordered 4 upstreams"));
    }
}
