#include "rollouts/evidence.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::rollouts;

namespace {

/// Adds @p count answers that take @p milliseconds, and as many of twice the time for every tenth of them.
void addAnswers(AnswerCounts &counts, std::uint32_t count, int milliseconds)
{
    counts.times[timeClass(std::chrono::milliseconds(milliseconds))] += count - count / 10;
    counts.times[timeClass(std::chrono::milliseconds(2 * milliseconds))] += count / 10;
}

/// What all hosts see of a sound version: 2,000 answers of the versions before and 120 of the version, on each of two routes.
Evidence soundEvidence()
{
    Evidence evidence;
    for (const std::string_view route : {"plan", "question"}) {
        RouteCounts &counts = evidence.routes[routeNumber(route)];
        addAnswers(counts.before, 2'000, 200);
        addAnswers(counts.rolledOut, 120, 200);
    }
    evidence.failedUpstreams = 0b101;
    return evidence;
}

}

TEST_CASE("The answers of a version are compared with those of the versions before")
{
    Evidence evidence = soundEvidence();
    RouteCounts &plan = evidence.routes[routeNumber("plan")];
    CHECK(verdict(Evidence(), 8) == Verdict::Sound);
    CHECK(verdict(evidence, 8) == Verdict::Sound);

    SECTION("a version that fails at once is bad after few answers")
    {
        Evidence few;
        few.routes[routeNumber("plan")].rolledOut.failures = 5;
        few.failedUpstreams = 0b11;
        CHECK(verdict(few, 8) == Verdict::Bad);
    }
    SECTION("a version that begins to fail later is bad although most answers were good")
    {
        plan.rolledOut.failures = 4;
        CHECK(verdict(evidence, 8) == Verdict::Doubtful);
        plan.rolledOut.failures = 9;
        CHECK(verdict(evidence, 8) == Verdict::Bad);
    }
    SECTION("a version that fails on one route only is bad")
    {
        for (int number = 0; number < 6; ++number) {
            addAnswers(evidence.routes[routeNumber("other-" + std::to_string(number))].rolledOut, 200, 200);
        }
        plan.rolledOut.failures = 8;
        CHECK(verdict(evidence, 8) == Verdict::Bad);
    }
    SECTION("a version of which a third of the answers is several times slower is bad")
    {
        addAnswers(plan.rolledOut, 60, 800);
        CHECK(verdict(evidence, 8) == Verdict::Bad);
    }
    SECTION("a version of which a part of the answers on one rare route is slower is in doubt")
    {
        RouteCounts rare;
        addAnswers(rare.before, 500, 200);
        addAnswers(rare.rolledOut, 20, 200);
        addAnswers(rare.rolledOut, 5, 400);
        evidence.routes[routeNumber("rare")] = rare;
        CHECK(verdict(evidence, 8) == Verdict::Doubtful);
    }
    SECTION("a service that fails, or is slow, as much with the versions before shows nothing")
    {
        plan.before.failures = 500;
        plan.rolledOut.failures = 30;
        addAnswers(plan.before, 1'000, 900);
        addAnswers(plan.rolledOut, 60, 900);
        CHECK(verdict(evidence, 8) == Verdict::Sound);
    }
    SECTION("one upstream that fails raises a doubt only, until it gave many bad answers")
    {
        evidence.failedUpstreams = 0b100;
        plan.rolledOut.failures = 12;
        CHECK(verdict(evidence, 8) == Verdict::Doubtful);
        CHECK(verdict(evidence, 1) == Verdict::Bad);
        plan.rolledOut.failures = 40;
        CHECK(verdict(evidence, 8) == Verdict::Bad);
    }
    SECTION("what hosts have seen is added up")
    {
        Evidence other;
        other.requests = 3;
        other.failedUpstreams = 0b1000;
        other.routes[routeNumber("plan")].rolledOut.failures = 9;
        evidence.add(other);
        CHECK(evidence.failures() == 9);
        CHECK(evidence.requests == 3);
        CHECK(verdict(evidence, 8) == Verdict::Bad);
    }
}
