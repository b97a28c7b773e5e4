#include "gossip/peerregistry.h"

#include <catch2/catch.hpp>

using namespace rosemaryshift;
using namespace rosemaryshift::gossip;

namespace {

constexpr TimePoint Start{std::chrono::seconds(100)};

PeerStatus makeNews(const std::string &host, std::uint64_t sentUs)
{
    PeerStatus news;
    news.host = host;
    news.start = "a";
    news.zone = "zone-" + host.substr(host.size() - 1);
    news.address = "10.0.0." + host.substr(host.size() - 1);
    news.sentUs = sentUs;
    return news;
}

}

TEST_CASE("News survives the way, and nothing else is taken for it")
{
    PeerStatus news = makeNews("entry-2", 5);
    news.echoUs = 7;
    news.configuration = 12;
    news.confirmedAgeMs = 300;
    news.listReachableMs = 60'000;
    news.wallUs = 1'700'000'000'000'000;
    news.holdsDuties = true;
    news.demand = {{"yard", 1'200}};
    news.used = {{"yard", 90'000}};
    news.busy = {{"engines", 1.5}};
    news.outstanding = {{"i-1", {3, 12'000}}};
    news.leaving = true;
    news.usage = {{7, {{"entry-2/a", {{"yard", 4}}}, {"entry-3/a", {{"yard", 1}, {"office", 2}}}}}};
    news.peers = {"10.0.0.1"};
    CHECK(decodedPeerStatus(encoded(news)) == news);

    CHECK(!decodedPeerStatus(""));
    CHECK(!decodedPeerStatus("[]"));
    CHECK(!decodedPeerStatus("{}"));
    std::string damaged = encoded(news);
    damaged.resize(damaged.size() / 2);
    CHECK(!decodedPeerStatus(damaged));
    std::string mistyped = encoded(news);
    mistyped.replace(mistyped.find("[3,12000]"), 9, "[3,\"no\"]");
    CHECK(!decodedPeerStatus(mistyped));
}

TEST_CASE("Hosts find each other through any that they know")
{
    std::vector<std::string> changes;
    PeerRegistry registry("10.0.0.1",
                          [&changes](const Peer &peer, std::string_view change) { changes.push_back(peer.status.host + " " + std::string(change)); });
    registry.setSeeds({"10.0.0.1", "10.0.0.9"});
    CHECK(registry.addresses() == std::set<std::string>{"10.0.0.9"});

    PeerStatus news = makeNews("entry-2", 5);
    news.peers = {"10.0.0.1", "10.0.0.3"};
    REQUIRE(registry.apply(news, Start));
    CHECK(registry.addresses() == std::set<std::string>{"10.0.0.2", "10.0.0.3", "10.0.0.9"});
    CHECK(registry.hostCount() == 2);
    CHECK(registry.echoFor("10.0.0.2", Start) == 5);
    CHECK(!registry.echoFor("10.0.0.3", Start));

    SECTION("news that was overtaken is not taken")
    {
        CHECK(!registry.apply(makeNews("entry-2", 4), Start));
        CHECK(!registry.apply(makeNews("entry-2", 5), Start));
        CHECK(registry.apply(makeNews("entry-2", 6), Start));
    }
    SECTION("a peer that says nothing is silent, and keeps its share until it is forgotten")
    {
        registry.expire(Start + std::chrono::seconds(2));
        CHECK(registry.anySilent());
        CHECK(registry.hostCount() == 2);
        CHECK(!registry.echoFor("10.0.0.2", Start + std::chrono::seconds(3)));
        registry.expire(Start + std::chrono::seconds(121));
        CHECK(!registry.anySilent());
        CHECK(registry.hostCount() == 1);
        CHECK(changes == std::vector<std::string>{"entry-2 found", "entry-2 silent", "entry-2 forgotten"});
    }
    SECTION("a zone is silent when all of its peers are")
    {
        PeerStatus other = makeNews("entry-3", 5);
        other.zone = news.zone;
        REQUIRE(registry.apply(other, Start + std::chrono::seconds(1)));
        registry.expire(Start + std::chrono::seconds(2));
        CHECK(registry.silentZones().empty());
        registry.expire(Start + std::chrono::seconds(3));
        CHECK(registry.silentZones() == std::set<std::string>{news.zone});
    }
    SECTION("a peer that says it leaves is forgotten at once, and its late news is not taken")
    {
        PeerStatus last = makeNews("entry-2", 7);
        last.leaving = true;
        CHECK(!registry.apply(last, Start));
        CHECK(registry.hostCount() == 1);
        CHECK(!registry.apply(makeNews("entry-2", 6), Start));
        CHECK(registry.hostCount() == 1);
        CHECK(changes.back() == "entry-2 left");
        PeerStatus restarted = makeNews("entry-2", 1);
        restarted.start = "b";
        CHECK(registry.apply(restarted, Start));
    }
    SECTION("a new start of its process is another one, whose clock may be behind")
    {
        PeerStatus restarted = makeNews("entry-2", 1);
        restarted.start = "b";
        CHECK(registry.apply(restarted, Start));
        CHECK(registry.hostCount() == 2);
        CHECK(changes.back() == "entry-2 restarted");
    }
}
