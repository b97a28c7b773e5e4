#include "promises/templatehelpers.h"

#include "base/json.h"

#include <catch2/catch.hpp>

namespace rosemaryshift::testing {

std::string yardTemplateWithQueueLimit(int queued)
{
    std::string text = yardTemplate();
    const std::string before = "requests_queued = 120";
    return text.replace(text.find(before), before.size(), "requests_queued = " + std::to_string(queued));
}

std::string yardRevisionOn(Fleet &fleet, std::size_t index)
{
    const Json::Value rows = fleet.operatorGet(index, "/v1/status")["templates"];
    return rows.empty() ? "none" : rows[0]["revision"].asString() + " " + rows[0]["change"].asString();
}

void awaitYardRevision(Fleet &fleet, const std::string &expected)
{
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        awaitCondition(expected + " as template revision and change on every host", [&] { return yardRevisionOn(fleet, i) == expected; });
    }
}

void checkRevisionsNeverDecrease(Fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        int highest = 0;
        for (const timeline::TimelineEvent &event : fleet.events(i)) {
            if (event.kind == timeline::EventKind::TemplateInForce) {
                const int revision = std::stoi(event.fields.detail.substr(std::string("revision ").size()));
                CHECK(revision >= highest);
                highest = std::max(highest, revision);
            }
        }
    }
}

void sendPlatformCommand(const Fleet &fleet, const std::string &command, const std::string &body)
{
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/" + command, body)).status == 200);
}

void awaitLogReachable(Fleet &fleet, bool reachable)
{
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        awaitCondition("every host to report the expected reachability of the log",
                       [&] { return fleet.operatorGet(i, "/v1/status")["log_reachable"].asBool() == reachable; });
    }
}

std::uint64_t logEndOffset(const Fleet &fleet)
{
    std::string reason;
    return (*parseJson(exchange(fleet.platform(), makeRequest("GET", "/v1/log?from=0")).body, reason))["next"].asUInt64();
}

void dropRecords(const Fleet &fleet, std::uint64_t oldest)
{
    sendPlatformCommand(fleet, "truncate", "{\"oldest\":" + std::to_string(oldest) + "}");
}

void awaitPeerCount(Fleet &fleet, std::size_t index, std::size_t peers)
{
    awaitCondition(std::to_string(peers) + " peers reported by " + fleet.entry(index).name,
                   [&] { return fleet.operatorGet(index, "/v1/status")["peers"].size() == peers; });
}

}
