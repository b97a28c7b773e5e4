#include "gossip/peerstatus.h"

#include "base/json.h"

#include <json/value.h>

#include <cmath>

namespace rosemaryshift::gossip {

namespace {

Json::Value object()
{
    return Json::Value(Json::objectValue);
}

/// Reads an object of rates; false when something else stands in it.
bool readRates(const Json::Value &value, std::map<std::string, double> &rates)
{
    if (!value.isObject()) {
        return false;
    }
    for (auto member = value.begin(); member != value.end(); ++member) {
        if (!member->isNumeric() || member->asDouble() < 0) {
            return false;
        }
        rates[member.name()] = member->asDouble();
    }
    return true;
}

bool readCounts(const Json::Value &value, std::map<std::string, std::uint64_t> &counts)
{
    std::optional<std::map<std::string, std::uint64_t>> read = countsFromJson(value);
    if (!read) {
        return false;
    }
    counts = std::move(*read);
    return true;
}

bool readOutstanding(const Json::Value &value, std::map<std::string, balancing::Outstanding> &outstanding)
{
    if (!value.isObject()) {
        return false;
    }
    for (auto member = value.begin(); member != value.end(); ++member) {
        if (!member->isArray() || member->size() != 2 || !(*member)[0].isUInt() || !(*member)[1].isUInt64()) {
            return false;
        }
        outstanding[member.name()] = {(*member)[0].asUInt(), (*member)[1].asUInt64()};
    }
    return true;
}

bool readUsage(const Json::Value &value, std::map<std::uint64_t, std::map<std::string, duties::UsageCounts>> &usage)
{
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &entry : value) {
        if (!entry.isArray() || entry.size() != 2 || !entry[0].isUInt64() || !entry[1].isObject()) {
            return false;
        }
        std::map<std::string, duties::UsageCounts> &starts = usage[entry[0].asUInt64()];
        for (auto start = entry[1].begin(); start != entry[1].end(); ++start) {
            if (!readCounts(*start, starts[start.name()])) {
                return false;
            }
        }
    }
    return true;
}

}

std::string encoded(const PeerStatus &news)
{
    Json::Value value;
    value["host"] = news.host;
    value["start"] = news.start;
    value["zone"] = news.zone;
    value["address"] = news.address;
    value["sent_us"] = news.sentUs;
    if (news.echoUs) {
        value["echo_us"] = *news.echoUs;
    }
    value["configuration"] = news.configuration;
    if (news.confirmedAgeMs) {
        value["confirmed_age_ms"] = *news.confirmedAgeMs;
    }
    if (news.listReachableMs) {
        value["list_in_reach_ms"] = *news.listReachableMs;
    }
    value["wall_us"] = news.wallUs;
    if (news.leaving) {
        value["leaving"] = true;
    }
    if (news.holdsDuties) {
        value["holds_duties"] = true;
    }
    value["demand"] = object();
    for (const auto &[workspace, demand] : news.demand) {
        value["demand"][workspace] = static_cast<std::uint64_t>(std::llround(demand));
    }
    value["used"] = countsToJson(news.used);
    value["busy"] = object();
    for (const auto &[service, busy] : news.busy) {
        value["busy"][service] = busy;
    }
    value["outstanding"] = object();
    for (const auto &[instance, outstanding] : news.outstanding) {
        value["outstanding"][instance].append(outstanding.running);
        value["outstanding"][instance].append(outstanding.prefillTokens);
    }
    value["usage"] = Json::Value(Json::arrayValue);
    for (const auto &[window, starts] : news.usage) {
        Json::Value entry(Json::arrayValue);
        entry.append(window);
        entry.append(object());
        for (const auto &[start, counts] : starts) {
            entry[1][start] = countsToJson(counts);
        }
        value["usage"].append(std::move(entry));
    }
    value["peers"] = Json::Value(Json::arrayValue);
    for (const std::string &peer : news.peers) {
        value["peers"].append(peer);
    }
    return toText(value);
}

std::optional<PeerStatus> decodedPeerStatus(std::string_view datagram)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(datagram, reason);
    if (!value) {
        return std::nullopt;
    }
    const std::optional<std::string> host = stringMember(*value, "host");
    const std::optional<std::string> start = stringMember(*value, "start");
    const std::optional<std::string> zone = stringMember(*value, "zone");
    const std::optional<std::string> address = stringMember(*value, "address");
    const std::optional<std::uint64_t> sent = unsignedMember(*value, "sent_us");
    const std::optional<std::uint64_t> configuration = unsignedMember(*value, "configuration");
    const std::optional<std::uint64_t> wall = unsignedMember(*value, "wall_us");
    if (!host || !start || !zone || !address || !sent || !configuration || !wall || !(*value)["peers"].isArray()) {
        return std::nullopt;
    }
    PeerStatus news;
    news.host = *host;
    news.start = *start;
    news.zone = *zone;
    news.address = *address;
    news.sentUs = *sent;
    news.echoUs = unsignedMember(*value, "echo_us");
    news.configuration = *configuration;
    news.confirmedAgeMs = unsignedMember(*value, "confirmed_age_ms");
    news.listReachableMs = unsignedMember(*value, "list_in_reach_ms");
    news.wallUs = *wall;
    news.leaving = boolMember(*value, "leaving", false);
    news.holdsDuties = boolMember(*value, "holds_duties", false);
    if (!readRates((*value)["demand"], news.demand) || !readCounts((*value)["used"], news.used) || !readRates((*value)["busy"], news.busy)
        || !readOutstanding((*value)["outstanding"], news.outstanding) || !readUsage((*value)["usage"], news.usage)) {
        return std::nullopt;
    }
    for (const Json::Value &peer : (*value)["peers"]) {
        if (!peer.isString()) {
            return std::nullopt;
        }
        news.peers.push_back(peer.asString());
    }
    return news;
}

}
