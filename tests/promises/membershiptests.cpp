#include "promises/templatehelpers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

FleetOptions relayed()
{
    FleetOptions options;
    options.relays = true;
    return options;
}

void checkServes(Fleet &fleet, std::size_t index)
{
    const http::Request question = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", false, 2));
    CHECK(exchange(fleet.entry(index).callers, question).status == 200);
}

}

SCENARIO("A zone is cut from the platform only")
{
    Fleet fleet(relayed());
    awaitPeerCount(fleet, 0, 2);
    fleet.entry(0).platformRelay->hold();
    REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    THEN("it learns the template from its peers, goes on serving and refuses to publish")
    {
        awaitYardRevision(fleet, "2 second");
        checkServes(fleet, 0);
        awaitCondition("the lost log", [&] { return !fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
        CHECK(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["verdict"].asString() == "platform_down");
        AND_WHEN("the cut is healed")
        {
            fleet.entry(0).platformRelay->heal();
            awaitCondition("the log", [&] { return fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
            CHECK(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
            awaitYardRevision(fleet, "3 third");
            checkRevisionsNeverDecrease(fleet);
        }
    }
}

SCENARIO("The zones are cut from each other")
{
    Fleet fleet(relayed());
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        awaitPeerCount(fleet, i, 2);
    }
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        fleet.entry(i).peerRelay->hold();
    }
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        awaitPeerCount(fleet, i, 0);
        checkServes(fleet, i);
    }
    WHEN("the platform is there")
    {
        REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
        awaitYardRevision(fleet, "2 second");
    }
    WHEN("one zone is cut from the platform as well")
    {
        fleet.entry(0).platformRelay->hold();
        REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
        awaitCondition("the template beyond the cut", [&] { return yardRevisionOn(fleet, 2) == "2 second"; });
        THEN("it serves by the template it has, and gets the new one when the peers are back, before the platform is")
        {
            checkServes(fleet, 0);
            CHECK(yardRevisionOn(fleet, 0) == "1 initial");
            for (std::size_t i = 0; i < fleet.entries(); ++i) {
                fleet.entry(i).peerRelay->heal();
            }
            awaitYardRevision(fleet, "2 second");
            fleet.entry(0).platformRelay->heal();
            awaitCondition("the log", [&] { return fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
            REQUIRE(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
            awaitYardRevision(fleet, "3 third");
            checkRevisionsNeverDecrease(fleet);
        }
    }
}

SCENARIO("All hosts are replaced one after the other while the platform is out")
{
    Fleet fleet;
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    awaitYardRevision(fleet, "2 second");
    const std::uint64_t end = logEndOffset(fleet);
    Fleet::setFailureMode(fleet.platform(), "down");
    for (std::size_t i = 0; i < 3; ++i) {
        const std::string zone = fleet.entry(0).zone;
        fleet.addSeededEntry(zone);
        fleet.awaitReady(fleet.entries() - 1);
        fleet.killEntry(0);
    }
    THEN("the new ones serve by the template of the old ones, and still after the platform came back without its records")
    {
        awaitYardRevision(fleet, "2 second");
        checkServes(fleet, 2);
        dropRecords(fleet, end);
        Fleet::setFailureMode(fleet.platform(), "none");
        fleet.publishHosts();
        awaitLogReachable(fleet, true);
        REQUIRE(fleet.publishTemplate(1, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
        awaitYardRevision(fleet, "3 third");
        checkRevisionsNeverDecrease(fleet);
    }
}

SCENARIO("All hosts are replaced at once while the platform is out")
{
    Fleet fleet;
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    awaitYardRevision(fleet, "2 second");
    Fleet::setFailureMode(fleet.platform(), "down");
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.killEntry(0);
    }
    fleet.addSeededEntry("miskolc");
    fleet.addSeededEntry("eger");
    WHEN("nobody knows the templates")
    {
        awaitPeerCount(fleet, 0, 1);
        CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/readyz")).status == 503);
        THEN("the new hosts take callers only after the platform is back, by the newest template")
        {
            Fleet::setFailureMode(fleet.platform(), "none");
            fleet.publishHosts();
            fleet.awaitReady(0);
            fleet.awaitReady(1);
            awaitYardRevision(fleet, "2 second");
            checkServes(fleet, 0);
        }
    }
}

SCENARIO("Hosts start while only the log is out")
{
    Fleet fleet;
    awaitYardRevision(fleet, "1 initial");
    sendPlatformCommand(fleet, "log_down", "{\"down\":true}");
    GIVEN("a host that still knows the templates")
    {
        fleet.addEntry("eger");
        THEN("the new one is ready by that host's templates")
        {
            CHECK(yardRevisionOn(fleet, 3) == "1 initial");
            checkServes(fleet, 3);
        }
    }
    GIVEN("no host that knows them")
    {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.killEntry(0);
        }
        fleet.addSeededEntry("eger");
        fleet.publishHosts();
        awaitCondition("the list of upstreams", [&] { return fleet.operatorGet(0, "/v1/status")["upstreams"].size() == 6; });
        THEN("the new one takes no callers until the log is back")
        {
            CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/readyz")).status == 503);
            sendPlatformCommand(fleet, "log_down", "{\"down\":false}");
            fleet.awaitReady(0);
            awaitYardRevision(fleet, "1 initial");
            checkServes(fleet, 0);
        }
    }
}

SCENARIO("A peer freezes past every timeout")
{
    Fleet fleet;
    awaitPeerCount(fleet, 0, 2);
    fleet.entry(2).process->signal(SIGSTOP);
    THEN("it is lost, requests go on, and it is back once it runs again")
    {
        checkServes(fleet, 0);
        awaitPeerCount(fleet, 0, 1);
        awaitPeerCount(fleet, 1, 1);
        checkServes(fleet, 0);
        fleet.entry(2).process->signal(SIGCONT);
        awaitPeerCount(fleet, 0, 2);
        awaitPeerCount(fleet, 2, 2);
    }
}

SCENARIO("A planned stop is known to peers at once and for good")
{
    FleetOptions options;
    options.engineSettings = "per_token_us = 20000\n";
    Fleet fleet(options);
    awaitPeerCount(fleet, 0, 2);
    PendingExchange plan(fleet.entry(2).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "x", true, 100)));
    plan.awaitText("-0 ");
    fleet.entry(2).process->signal(SIGTERM);
    awaitCondition("the leaving peer", [&] {
        const Json::Value peers = fleet.operatorGet(0, "/v1/status")["peers"];
        return peers.size() == 2 && peers[1]["leaving"].asBool();
    });
    CHECK_THAT(plan.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
    awaitPeerCount(fleet, 0, 1);
}

SCENARIO("News do not wait for the next heartbeat")
{
    FleetOptions options;
    options.engineSettings = "per_token_us = 20000\n";
    options.entrySettings = "[membership]\ninterval_ms = 3600000\n";
    Fleet fleet(options);
    awaitPeerCount(fleet, 0, 2);
    awaitPeerCount(fleet, 2, 2);
    PendingExchange plan(fleet.entry(2).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "x", true, 100)));
    plan.awaitText("-0 ");
    fleet.entry(2).process->signal(SIGTERM);
    for (std::size_t i = 0; i < 2; ++i) {
        awaitCondition("the leaving peer", [&] { return fleet.operatorGet(i, "/v1/status")["peers"][1]["leaving"].asBool(); });
    }
    CHECK_THAT(plan.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
}

SCENARIO("An operator asks who lags")
{
    FleetOptions options = relayed();
    options.zones = {"miskolc", "eger"};
    options.entrySettings = "[membership]\nmissed_beats = 1000\n";
    Fleet fleet(options);
    awaitPeerCount(fleet, 1, 1);
    const auto lag = [&] { return fleet.operatorGet(1, "/v1/status")["peers"][0]["lag"].asString(); };
    awaitCondition("no lag", [&] { return lag().empty(); });
    fleet.entry(0).platformRelay->hold();
    awaitCondition("the lost log", [&] { return !fleet.operatorGet(1, "/v1/status")["peers"][0]["log_reachable"].asBool(); });
    fleet.entry(0).process->signal(SIGSTOP);
    REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    THEN("the other host names the one whose templates differ, and why, until a heartbeat has brought it the template")
    {
        CHECK(lag() == "its log is out");
        fleet.entry(0).process->signal(SIGCONT);
        awaitCondition("no lag", [&] { return lag().empty(); });
        CHECK(yardRevisionOn(fleet, 0) == "2 second");
    }
}
