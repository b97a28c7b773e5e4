#include "base/json.h"
#include "promises/templatehelpers.h"
#include "support/golden.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

SCENARIO("Two operators publish a change of the same template revision on two hosts at the same time")
{
    Fleet fleet;
    GoldenSession golden("templaterace");
    Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":300");
    PendingExchange first(fleet.entry(0).operators, fleet.publishRequest("yard", 1, "change-of-anna", yardTemplateWithQueueLimit(7)));
    PendingExchange second(fleet.entry(1).operators, fleet.publishRequest("yard", 1, "change-of-bela", yardTemplateWithQueueLimit(9)));
    const std::optional<http::Response> firstAnswer = first.awaitEnd();
    const std::optional<http::Response> secondAnswer = second.awaitEnd();
    REQUIRE(firstAnswer);
    REQUIRE(secondAnswer);

    THEN("one change is accepted on every host and the other publisher is told which change came first")
    {
        const bool annaWon = firstAnswer->status == 200;
        const std::string winner = annaWon ? "change-of-anna" : "change-of-bela";
        awaitYardRevision(fleet, "2 " + winner);
        golden.addComment("both published on revision 1; WINNER stands first in the log");
        const auto add = [&](const std::string &who, const http::Response &response) {
            std::string body = response.body;
            const std::size_t at = body.find(winner);
            golden.addLine(who + " " + std::to_string(response.status) + " " + (at == std::string::npos ? body : body.replace(at, winner.size(), "WINNER")));
        };
        add("winner", annaWon ? *firstAnswer : *secondAnswer);
        add("loser", annaWon ? *secondAnswer : *firstAnswer);
        golden.compare();
    }
}

SCENARIO("The log stores a published template and its answer to the host is lost")
{
    Fleet fleet;
    sendPlatformCommand(fleet, "lose_appends", "{\"count\":1}");
    THEN("the host finds its record in the log, and repeating the change id publishes nothing again")
    {
        const Json::Value answer = fleet.publishTemplate(0, "yard", 1, "lost", yardTemplateWithQueueLimit(7));
        CHECK(answer["verdict"].asString() == "accepted");
        CHECK(answer["revision"] == 2);
        awaitYardRevision(fleet, "2 lost");
        const std::uint64_t end = logEndOffset(fleet);
        CHECK(fleet.publishTemplate(1, "yard", 1, "lost", yardTemplateWithQueueLimit(7)) == answer);
        CHECK(fleet.publishTemplate(1, "yard", 2, "lost", yardTemplateWithQueueLimit(9))["verdict"].asString() == "invalid");
        CHECK(logEndOffset(fleet) == end);
    }
}

SCENARIO("The platform is down and then slow while templates are published")
{
    Fleet fleet;
    Fleet::setFailureMode(fleet.platform(), "down");
    awaitLogReachable(fleet, false);
    CHECK(fleet.publishTemplate(0, "yard", 1, "during", yardTemplateWithQueueLimit(7))["verdict"].asString() == "platform_down");
    CHECK(exchange(fleet.entry(1).callers, Fleet::callerRequest("GET", "/v1/models")).status == 200);
    WHEN("the platform returns, with slow answers")
    {
        Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":200");
        awaitLogReachable(fleet, true);
        THEN("the refused change is not in force, and a new one is accepted")
        {
            CHECK(fleet.publishTemplate(1, "yard", 1, "after", yardTemplateWithQueueLimit(9))["verdict"].asString() == "accepted");
            awaitYardRevision(fleet, "2 after");
            checkRevisionsNeverDecrease(fleet);
        }
    }
}

SCENARIO("The log drops the records of templates that are in force")
{
    Fleet fleet;
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    awaitYardRevision(fleet, "2 second");
    const std::uint64_t end = logEndOffset(fleet);
    dropRecords(fleet, end);
    THEN("a host appends the newest template again, so that a new host gets it")
    {
        awaitCondition("the carry-forward record in the log", [&] { return logEndOffset(fleet) > end; });
        fleet.addEntry("eger");
        awaitYardRevision(fleet, "2 second");
        CHECK(fleet.publishTemplate(3, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
        awaitYardRevision(fleet, "3 third");
        checkRevisionsNeverDecrease(fleet);
    }
    THEN("a carry-forward record that is stored late or twice does not revert the template")
    {
        awaitCondition("the carry-forward record in the log", [&] { return logEndOffset(fleet) > end; });
        std::string reason;
        const Json::Value page = *parseJson(exchange(fleet.platform(), makeRequest("GET", "/v1/log?from=" + std::to_string(end))).body, reason);
        REQUIRE(fleet.publishTemplate(1, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
        Json::Value body;
        body["records"].append(page["records"][0]["data"]);
        body["records"].append(page["records"][0]["data"]);
        REQUIRE(exchange(fleet.platform(), makeRequest("POST", "/v1/log", toText(body))).status == 200);
        REQUIRE(fleet.publishTemplate(2, "yard", 3, "fourth", yardTemplateWithQueueLimit(11))["revision"] == 4);
        awaitYardRevision(fleet, "4 fourth");
        checkRevisionsNeverDecrease(fleet);
    }
}

SCENARIO("A host is frozen while templates are published and their records dropped from the log")
{
    Fleet fleet;
    fleet.entry(2).process->signal(SIGSTOP);
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    REQUIRE(fleet.publishTemplate(1, "yard", 2, "third", yardTemplateWithQueueLimit(9))["verdict"].asString() == "accepted");
    dropRecords(fleet, logEndOffset(fleet));
    fleet.entry(2).process->signal(SIGCONT);
    THEN("the host gets the newest revision once it continues, and never returns to an earlier one")
    {
        awaitYardRevision(fleet, "3 third");
        checkRevisionsNeverDecrease(fleet);
    }
}

SCENARIO("A template change is checked against the upstreams and the present revision before it is published")
{
    Fleet fleet;
    const std::uint64_t end = logEndOffset(fleet);
    const Json::Value answer = fleet.publishTemplate(0, "yard", 1, "bad", yardTemplate() + "[[models]]\nname = \"nobody\"\n");
    CHECK(answer["verdict"].asString() == "invalid");
    CHECK(answer["reason"].asString() == "yard:14: model nobody is served by no live upstream");
    CHECK(fleet.publishTemplate(0, "yard", 9, "ahead", yardTemplate())["verdict"].asString() == "conflict");
    CHECK(logEndOffset(fleet) == end);
}

SCENARIO("A raised limit starts queued requests, and a lowered one does not interrupt running requests")
{
    const auto withLimit = [](int inFlight) {
        std::string text = yardTemplate();
        const std::string before = "requests_in_flight = 120";
        return text.replace(text.find(before), before.size(), "requests_in_flight = " + std::to_string(inFlight));
    };
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 20000\n";
    options.templateText = withLimit(1);
    Fleet fleet(options);
    const http::Request plan = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "x", true, 150));
    PendingExchange first(fleet.entry(0).callers, plan);
    first.awaitText("-0 ");
    PendingExchange second(fleet.entry(0).callers, plan);
    awaitCondition("the host to queue the second plan request", [&] {
        const std::vector<timeline::TimelineEvent> events = fleet.events(0);
        return std::ranges::any_of(events, [](const timeline::TimelineEvent &event) { return event.kind == timeline::EventKind::RequestQueued; });
    });
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "raised", withLimit(2))["revision"] == 2);
    second.awaitText("-0 ");
    REQUIRE(fleet.publishTemplate(0, "yard", 2, "lowered", withLimit(1))["revision"] == 3);
    CHECK_THAT(first.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
    CHECK_THAT(second.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
}
