#include "measure/emulation.h"

#include "measure/experiments.h"
#include "measure/internal/fakeupstream.h"
#include "measure/summary.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace rosemaryshift;
using namespace rosemaryshift::measure;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::milliseconds(ms));
}

UpstreamGroup engine(std::uint32_t slots)
{
    UpstreamGroup group;
    group.name = "engine";
    group.slots = slots;
    group.perToken = std::chrono::milliseconds(10);
    group.prefillWork = 0.1;
    group.cachedPrefixes = 1;
    group.price = 1;
    return group;
}

Job job(std::uint64_t attempt, std::uint32_t priority, std::uint32_t tokens)
{
    Job made;
    made.key = {0, static_cast<AttemptId>(attempt)};
    made.priority = priority;
    made.tokens = tokens;
    return made;
}

Scenario smallFleet()
{
    Scenario scenario;
    scenario.name = "small";
    scenario.entryHosts = 2;
    scenario.reportEvery = std::chrono::milliseconds(500);
    scenario.reportLag = std::chrono::milliseconds(500);
    scenario.upstreams = {engine(4)};
    ClassLoad question;
    question.share = 1;
    question.medianTokens = 20;
    question.firstToken = std::chrono::seconds(2);
    question.deadline = std::chrono::seconds(20);
    scenario.classes = {question};
    scenario.workspaces = {{"yard", 1, 8, 8}};
    return scenario;
}

}

SCENARIO("A fake upstream batches continuously and caches prompt prefixes")
{
    GIVEN("an upstream with one slot, one running and two queued requests")
    {
        FakeUpstream upstream(engine(1));
        upstream.begin(job(1, 1, 1), at(0));
        upstream.begin(job(2, 1, 1), at(0));
        upstream.begin(job(3, 0, 1), at(0));
        THEN("the queued request of the higher priority runs next")
        {
            CHECK(upstream.queued() == 2);
            REQUIRE(upstream.nextOutput() == at(10));
            CHECK(upstream.advance(at(10)).at(0).ended);
            CHECK(upstream.advance(at(20)).at(0).key.attempt == AttemptId{3});
        }
        THEN("a slowdown by a factor of 5 makes the output 5 times as late")
        {
            upstream.setSlowdown(5, at(0));
            CHECK(upstream.nextOutput() == at(50));
        }
    }
    GIVEN("a prompt of 100 tokens with a prefix of 80")
    {
        FakeUpstream upstream(engine(4));
        Job prompt = job(1, 0, 1);
        prompt.promptTokens = 100;
        prompt.prefixTokens = 80;
        prompt.prefixHash = 7;
        THEN("a second run processes only the 20 tokens after the cached prefix")
        {
            CHECK(upstream.begin(prompt, at(0)) == 100);
            prompt.key.attempt = AttemptId{2};
            CHECK(upstream.begin(prompt, at(0)) == 20);
        }
    }
}

SCENARIO("A run with the same seed gives the same figures and ends every request exactly once")
{
    const Scenario scenario = smallFleet();
    for (const NamedPolicy &policy : allPolicies()) {
        for (const Experiment &experiment : allExperiments()) {
            const RunResult first = emulate(scenario, policy, experiment, 7);
            INFO("policy " << policy.name << ", experiment " << experiment.name << ", seed 7");
            CHECK(first.unanswered == 0);
            CHECK(first.repeatedCalls == 0);
        }
    }
    const NamedPolicy policy = allPolicies().front();
    const Experiment experiment = allExperiments().front();
    std::ostringstream once;
    std::ostringstream again;
    writeCsv(once, scenario.name, std::vector{summarize(policy, experiment, std::vector{emulate(scenario, policy, experiment, 7)})});
    writeCsv(again, scenario.name, std::vector{summarize(policy, experiment, std::vector{emulate(scenario, policy, experiment, 7)})});
    CHECK(once.str() == again.str());
}
