#include "balancing/upstreambalancer.h"

#include <catch2/catch.hpp>

#include <set>

using namespace rosemaryshift;
using namespace rosemaryshift::balancing;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};
/// How long another host's report of its load is used.
constexpr std::chrono::seconds ReportLifetime{2};
constexpr std::chrono::milliseconds Tick{1};

std::vector<Candidate> makeCandidates(std::span<const std::string> names)
{
    std::vector<Candidate> candidates;
    for (const std::string &name : names) {
        candidates.push_back({name, "miskolc", 64, 0, false});
    }
    return candidates;
}

RequestProfile makePlan(std::span<const ports::PromptPart> parts)
{
    RequestProfile profile;
    profile.service = "engines";
    profile.promptParts = parts;
    for (const ports::PromptPart &part : parts) {
        profile.promptTokens += part.tokens;
    }
    return profile;
}

}

TEST_CASE("Requests go to the upstream with the earliest expected first event")
{
    const std::vector<std::string> names{"a", "b", "c"};
    const std::vector<Candidate> candidates = makeCandidates(names);
    UpstreamBalancer balancer;

    SECTION("without candidates, none is chosen")
    {
        CHECK(!balancer.choose(RequestProfile{}, {}, Start));
    }
    SECTION("an upstream gets no more concurrent requests than this host may have running there")
    {
        // Failure: a burst of bookings exceeds the connections that the service accepts; the service resets the excess ones, whose bookings may have run.
        std::vector<Candidate> limited = candidates;
        for (Candidate &candidate : limited) {
            candidate.maxConcurrentRequests = 2;
        }
        RequestProfile booking;
        booking.service = "dispatch";
        std::vector<std::uint64_t> attempts;
        while (const std::optional<Choice> choice = balancer.choose(booking, limited, Start)) {
            attempts.push_back(balancer.begin(booking, *choice, Start));
        }
        CHECK(attempts.size() == 2 * names.size());
        balancer.end(attempts.front(), AttemptEnd::Succeeded, Start + Tick);
        CHECK(balancer.choose(booking, limited, Start + Tick));
    }
    SECTION("a burst of plans with long prompts is spread over all upstreams")
    {
        std::set<std::string> chosen;
        for (std::uint64_t plan = 0; plan < 3; ++plan) {
            const std::vector<ports::PromptPart> parts{{1, 100}, {1000 + plan, 12'000}};
            const std::optional<Choice> choice = balancer.choose(makePlan(parts), candidates, Start);
            REQUIRE(choice);
            balancer.begin(makePlan(parts), *choice, Start);
            chosen.insert(choice->instance);
        }
        CHECK(chosen.size() == 3);
    }
    SECTION("load reported by another host counts like this host's own")
    {
        const std::vector<ports::PromptPart> parts{{7, 400}};
        const std::string first = balancer.choose(makePlan(parts), candidates, Start)->instance;
        balancer.setPeerOutstanding("entry-2", {{first, Outstanding{4, 50'000}}}, Start, ReportLifetime);
        CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance != first);

        SECTION("another host's load report is ignored after three seconds")
        {
            CHECK(balancer.choose(makePlan(parts), candidates, Start + std::chrono::seconds(3))->instance == first);
        }
        SECTION("another host's load report replaces its previous one")
        {
            balancer.setPeerOutstanding("entry-2", {}, Start, ReportLifetime);
            CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance == first);
        }
        SECTION("the load of a host that is gone is not counted, that of the others is")
        {
            balancer.setPeerOutstanding("entry-3", {{first, Outstanding{4, 50'000}}}, Start, ReportLifetime);
            balancer.forgetPeer("entry-2");
            CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance != first);
            balancer.forgetPeer("entry-3");
            CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance == first);
        }
    }
    SECTION("a prompt goes to the upstream that has its beginning in the cache")
    {
        const std::vector<ports::PromptPart> first{{1, 500}, {2, 5'000}, {3, 300}};
        const std::optional<Choice> choice = balancer.choose(makePlan(first), candidates, Start);
        const std::uint64_t attempt = balancer.begin(makePlan(first), *choice, Start);
        balancer.recordFirstEvent(attempt, Start + std::chrono::milliseconds(100));
        balancer.end(attempt, AttemptEnd::Succeeded, Start + std::chrono::milliseconds(200));

        const std::vector<ports::PromptPart> second{{1, 500}, {2, 5'000}, {4, 300}};
        const std::optional<Choice> next = balancer.choose(makePlan(second), candidates, Start + std::chrono::seconds(1));
        CHECK(next->instance == choice->instance);
        CHECK(next->uncachedTokens == 300);

        SECTION("a prompt goes elsewhere if the upstream that has its beginning in the cache is overloaded")
        {
            balancer.setPeerOutstanding("entry-2", {{choice->instance, Outstanding{20, 200'000}}}, Start + std::chrono::seconds(1), ReportLifetime);
            CHECK(balancer.choose(makePlan(second), candidates, Start + std::chrono::seconds(1))->instance != choice->instance);
        }
    }
}

TEST_CASE("Rendezvous hashing selects the same upstream for a shared prompt part in any order of the candidates")
{
    const std::vector<std::string> names{"a", "b", "c", "d"};
    const std::vector<std::string> reversed{"d", "c", "b", "a"};
    std::set<std::string_view> homes;
    for (std::uint64_t key = 0; key < 50; ++key) {
        const std::string_view home = rendezvousHome(key, makeCandidates(names));
        CHECK(home == rendezvousHome(key, makeCandidates(reversed)));
        homes.insert(home);
    }
    CHECK(homes.size() == 4);

    SECTION("when an upstream is removed, only the prompt parts assigned to it are reassigned")
    {
        const std::vector<std::string> remaining{"a", "b", "c"};
        for (std::uint64_t key = 0; key < 50; ++key) {
            const std::string_view before = rendezvousHome(key, makeCandidates(names));
            if (before != "d") {
                CHECK(rendezvousHome(key, makeCandidates(remaining)) == before);
            }
        }
    }
}

TEST_CASE("An upstream that fails half of its requests gets less than half as many as one that never fails")
{
    const std::vector<std::string> names{"good", "grey"};
    const std::vector<Candidate> candidates = makeCandidates(names);
    UpstreamBalancer balancer;
    RequestProfile lookup;
    lookup.service = "dispatch";
    std::map<std::string, int> sent;
    TimePoint now = Start;
    for (int request = 0; request < 200; ++request) {
        const std::optional<Choice> choice = balancer.choose(lookup, candidates, now);
        const std::uint64_t attempt = balancer.begin(lookup, *choice, now);
        now += std::chrono::milliseconds(20);
        balancer.recordFirstEvent(attempt, now);
        balancer.end(attempt, choice->instance == "grey" && request % 2 == 0 ? AttemptEnd::Failed : AttemptEnd::Succeeded, now);
        ++sent[choice->instance];
        now += Tick;
    }
    CHECK(sent["good"] > 2 * sent["grey"]);

    SECTION("an upstream is ejected after three consecutive failures, but still chosen if there is no other")
    {
        UpstreamBalancer fresh;
        const Choice grey{"grey", Duration(0), 0, "", Duration(0)};
        for (int failure = 0; failure < 3; ++failure) {
            fresh.end(fresh.begin(lookup, grey, now), AttemptEnd::Failed, now);
        }
        CHECK(fresh.choose(lookup, candidates, now)->instance == "good");
        const std::vector<std::string> only{"grey"};
        CHECK(fresh.choose(lookup, makeCandidates(only), now)->instance == "grey");
    }
}

TEST_CASE("Upstreams in an unreachable or another availability zone are chosen last")
{
    const std::vector<std::string> names{"eger-1", "eger-2", "miskolc-1"};
    std::vector<Candidate> candidates = makeCandidates(names);
    candidates[0].zone = "eger";
    candidates[1].zone = "eger";
    UpstreamBalancer balancer;

    SECTION("upstreams of an unreachable zone get requests only when the others are overloaded")
    {
        candidates[0].zoneUnreachable = true;
        candidates[1].zoneUnreachable = true;
        for (std::uint64_t plan = 0; plan < 4; ++plan) {
            const std::vector<ports::PromptPart> parts{{1, 500}, {100 + plan, 500}, {1000 + plan, 500}};
            CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance == "miskolc-1");
        }
        balancer.setPeerOutstanding("entry-2", {{"miskolc-1", Outstanding{40, 100'000}}}, Start, ReportLifetime);
        const std::vector<ports::PromptPart> parts{{1, 500}, {2, 500}};
        CHECK(balancer.choose(makePlan(parts), candidates, Start)->instance != "miskolc-1");
    }
    SECTION("lookups stay in the host's own zone, so that few are lost when zones are partitioned")
    {
        RequestProfile lookup;
        lookup.service = "dispatch";
        lookup.zone = "miskolc";
        for (int request = 0; request < 5; ++request) {
            const std::optional<Choice> choice = balancer.choose(lookup, candidates, Start);
            CHECK(choice->instance == "miskolc-1");
            balancer.begin(lookup, *choice, Start);
        }
    }
}

TEST_CASE("The load of an attempt is removed from the outstanding load when the attempt ends")
{
    UpstreamBalancer balancer;
    const std::vector<std::string> names{"a"};
    const std::vector<ports::PromptPart> parts{{1, 100}, {2, 900}};
    const std::optional<Choice> choice = balancer.choose(makePlan(parts), makeCandidates(names), Start);
    const std::uint64_t attempt = balancer.begin(makePlan(parts), *choice, Start);
    REQUIRE(balancer.outstanding().at("a").running == 1);
    CHECK(balancer.outstanding().at("a").prefillTokens == choice->uncachedTokens);

    SECTION("an attempt that ends before its first event")
    {
        balancer.end(attempt, AttemptEnd::Inconclusive, Start + Tick);
        CHECK(balancer.outstanding().empty());
    }
    SECTION("an attempt that ends after its first event, and is ended twice")
    {
        balancer.recordFirstEvent(attempt, Start + Tick);
        CHECK(balancer.outstanding().at("a").prefillTokens == 0);
        balancer.end(attempt, AttemptEnd::Succeeded, Start + 2 * Tick);
        balancer.end(attempt, AttemptEnd::Succeeded, Start + 3 * Tick);
        CHECK(balancer.outstanding().empty());
    }
}
