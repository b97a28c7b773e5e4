#include "promises/templatehelpers.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

FleetOptions fleetWithRelays()
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

SCENARIO("A zone is cut off from the platform but not from its peers")
{
    Fleet fleet(fleetWithRelays());
    awaitPeerCount(fleet, 0, 2);
    fleet.entry(0).platformRelay->hold();
    REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    THEN("the host of that zone gets the template from its peers, continues to serve and refuses to publish")
    {
        awaitYardRevision(fleet, "2 second");
        checkServes(fleet, 0);
        awaitCondition("the host to report its log as unreachable", [&] { return !fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
        CHECK(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["verdict"].asString() == "platform_down");
        AND_WHEN("the connection to the platform is restored")
        {
            fleet.entry(0).platformRelay->heal();
            awaitCondition("the host to report its log as reachable", [&] { return fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
            CHECK(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
            awaitYardRevision(fleet, "3 third");
            checkRevisionsNeverDecrease(fleet);
        }
    }
}

SCENARIO("The zones are cut off from each other")
{
    Fleet fleet(fleetWithRelays());
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
    WHEN("every host still reaches the platform and a template is published")
    {
        REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
        awaitYardRevision(fleet, "2 second");
    }
    WHEN("one zone is also cut off from the platform and a template is published")
    {
        fleet.entry(0).platformRelay->hold();
        REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
        awaitCondition("the new template on the host that still reaches the platform", [&] { return yardRevisionOn(fleet, 2) == "2 second"; });
        THEN("the host of that zone serves with its present template, and gets the new one from its peers before the platform is reachable again")
        {
            checkServes(fleet, 0);
            CHECK(yardRevisionOn(fleet, 0) == "1 initial");
            for (std::size_t i = 0; i < fleet.entries(); ++i) {
                fleet.entry(i).peerRelay->heal();
            }
            awaitYardRevision(fleet, "2 second");
            fleet.entry(0).platformRelay->heal();
            awaitCondition("the host to report its log as reachable", [&] { return fleet.operatorGet(0, "/v1/status")["log_reachable"].asBool(); });
            REQUIRE(fleet.publishTemplate(0, "yard", 2, "third", yardTemplateWithQueueLimit(9))["revision"] == 3);
            awaitYardRevision(fleet, "3 third");
            checkRevisionsNeverDecrease(fleet);
        }
    }
}

SCENARIO("All hosts are replaced one after the other while the platform is down")
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
    THEN("the new hosts serve with the template of the old ones, also after the platform has returned without its old records")
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

SCENARIO("All hosts are replaced at once while the platform is down")
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
    WHEN("no running host knows the templates")
    {
        awaitPeerCount(fleet, 0, 1);
        CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/readyz")).status == 503);
        THEN("the new hosts become ready only after the platform has returned, with the newest template")
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

SCENARIO("Hosts start while only the platform's log is down")
{
    Fleet fleet;
    awaitYardRevision(fleet, "1 initial");
    sendPlatformCommand(fleet, "log_down", "{\"down\":true}");
    GIVEN("running hosts that know the templates")
    {
        fleet.addEntry("eger");
        THEN("the new host becomes ready with the templates of its peers")
        {
            CHECK(yardRevisionOn(fleet, 3) == "1 initial");
            checkServes(fleet, 3);
        }
    }
    GIVEN("no running host that knows the templates")
    {
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.killEntry(0);
        }
        fleet.addSeededEntry("eger");
        fleet.publishHosts();
        awaitCondition("the new host to list all upstreams", [&] { return fleet.operatorGet(0, "/v1/status")["upstreams"].size() == 6; });
        THEN("the new host is not ready until the log is reachable again")
        {
            CHECK(exchange(fleet.entry(0).operators, makeRequest("GET", "/readyz")).status == 503);
            sendPlatformCommand(fleet, "log_down", "{\"down\":false}");
            fleet.awaitReady(0);
            awaitYardRevision(fleet, "1 initial");
            checkServes(fleet, 0);
        }
    }
}

SCENARIO("A peer is frozen for longer than the membership timeouts")
{
    Fleet fleet;
    awaitPeerCount(fleet, 0, 2);
    fleet.entry(2).process->signal(SIGSTOP);
    THEN("the other hosts drop the frozen peer and continue to serve, and list it again once it continues")
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

SCENARIO("Peers list a stopping host as leaving while it drains, and drop it from their lists afterwards")
{
    FleetOptions options;
    options.engineSettings = "per_token_us = 20000\n";
    Fleet fleet(options);
    awaitPeerCount(fleet, 0, 2);
    PendingExchange plan(fleet.entry(2).callers, Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("plan-large", "x", true, 100)));
    plan.awaitText("-0 ");
    fleet.entry(2).process->signal(SIGTERM);
    awaitCondition("the stopping host to be listed as leaving by its peer", [&] {
        const Json::Value peers = fleet.operatorGet(0, "/v1/status")["peers"];
        return peers.size() == 2 && peers[1]["leaving"].asBool();
    });
    CHECK_THAT(plan.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
    awaitPeerCount(fleet, 0, 1);
}

SCENARIO("Peers learn that a host is leaving without waiting for the next heartbeat")
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
        awaitCondition("the stopping host to be listed as leaving by its peer",
                       [&] { return fleet.operatorGet(i, "/v1/status")["peers"][1]["leaving"].asBool(); });
    }
    CHECK_THAT(plan.awaitEnd()->body, Catch::EndsWith("data: [DONE]\n\n"));
}

SCENARIO("A host's status names the peer whose templates are out of date")
{
    FleetOptions options = fleetWithRelays();
    options.zones = {"miskolc", "eger"};
    options.entrySettings = "[membership]\nmissed_beats = 1000\n";
    Fleet fleet(options);
    awaitPeerCount(fleet, 1, 1);
    const auto lag = [&] { return fleet.operatorGet(1, "/v1/status")["peers"][0]["lag"].asString(); };
    awaitCondition("the status to report no lag for the peer", [&] { return lag().empty(); });
    fleet.entry(0).platformRelay->hold();
    awaitCondition("the peer to be reported with an unreachable log",
                   [&] { return !fleet.operatorGet(1, "/v1/status")["peers"][0]["log_reachable"].asBool(); });
    fleet.entry(0).process->signal(SIGSTOP);
    REQUIRE(fleet.publishTemplate(1, "yard", 1, "second", yardTemplateWithQueueLimit(7))["verdict"].asString() == "accepted");
    THEN("the status gives the reason why the peer lags, until a heartbeat has brought it the template")
    {
        CHECK(lag() == "its log is out");
        fleet.entry(0).process->signal(SIGCONT);
        awaitCondition("the status to report no lag for the peer", [&] { return lag().empty(); });
        CHECK(yardRevisionOn(fleet, 0) == "2 second");
    }
}
