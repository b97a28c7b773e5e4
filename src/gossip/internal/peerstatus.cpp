#include "gossip/peerstatus.h"

#include "base/json.h"
#include "gossip/internal/statusforms.h"
#include "quarantine/suspectjson.h"

#include <json/value.h>

#include <cmath>

namespace rosemaryshift::gossip {

namespace {

Json::Value emptyObject()
{
    return Json::Value(Json::objectValue);
}

/// Reads an object of non-negative numbers; returns false when it is malformed.
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

/// Name of the field with the suspects of this @p kind. One for each kind, since hosts of an earlier version reject parts without an id.
const char *suspectsName(quarantine::SuspectKind kind)
{
    return kind == quarantine::SuspectKind::Request ? "suspect_requests" : "suspect_parts";
}

/// Reads the suspects of one kind, which hosts of an earlier version may not send; returns false when they are malformed.
bool readSuspects(const Json::Value &status, quarantine::SuspectKind kind, std::vector<quarantine::SuspectReport> &suspects)
{
    const Json::Value &value = status[suspectsName(kind)];
    if (value.isNull()) {
        return true;
    }
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &entry : value) {
        std::optional<quarantine::SuspectReport> report = quarantine::suspectReport(kind, entry);
        if (!report) {
            return false;
        }
        suspects.push_back(std::move(*report));
    }
    return true;
}

Json::Value toJson(const limits::LimitReport &report)
{
    Json::Value value(Json::arrayValue);
    value.append(report.instance);
    value.append(report.ageMs);
    if (report.perSecond) {
        value.append(*report.perSecond);
    }
    return value;
}

/// Reads the limits of upstreams, which hosts of an earlier version do not send; returns false when they are malformed.
bool readUpstreamLimits(const Json::Value &value, std::vector<limits::LimitReport> &upstreamLimits)
{
    if (value.isNull()) {
        return true;
    }
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &entry : value) {
        const bool lifted = entry.isArray() && entry.size() == 2;
        const bool stated = entry.isArray() && entry.size() == 3 && entry[2].isNumeric() && entry[2].asDouble() >= 0;
        if ((!lifted && !stated) || !entry[0].isString() || !entry[1].isUInt64()) {
            return false;
        }
        upstreamLimits.push_back({entry[0].asString(), stated ? std::optional(entry[2].asDouble()) : std::nullopt, entry[1].asUInt64()});
    }
    return true;
}

Json::Value toJson(const streams::VersionReport &report)
{
    Json::Value value(Json::arrayValue);
    value.append(report.version.service);
    value.append(report.version.softwareVersion);
    value.append(report.ageMs);
    return value;
}

/// Reads software versions, which hosts of an earlier version do not send; returns false when they are malformed.
bool readVersions(const Json::Value &value, std::vector<streams::VersionReport> &versions)
{
    if (value.isNull()) {
        return true;
    }
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &entry : value) {
        if (!entry.isArray() || entry.size() != 3 || !entry[0].isString() || !entry[1].isString() || !entry[2].isUInt64()) {
            return false;
        }
        versions.push_back({{entry[0].asString(), entry[1].asString()}, entry[2].asUInt64()});
    }
    return true;
}

/// Reads a list of strings, which may be missing; returns false when it is malformed.
bool readNames(const Json::Value &value, std::vector<std::string> &names)
{
    if (value.isNull()) {
        return true;
    }
    if (!value.isArray()) {
        return false;
    }
    for (const Json::Value &entry : value) {
        if (!entry.isString()) {
            return false;
        }
        names.push_back(entry.asString());
    }
    return true;
}

/// Reads the origins of streams, which hosts of an earlier version do not send; returns false when they are malformed.
bool readStreams(const Json::Value &value, streams::OriginReport &streams)
{
    if (value.isNull()) {
        return true;
    }
    std::optional<streams::OriginReport> report = streams::originReport(value);
    if (report) {
        streams = std::move(*report);
    }
    return report.has_value();
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

std::string encoded(const PeerStatus &status)
{
    Json::Value value;
    value["host"] = status.host;
    value["start"] = status.start;
    value["zone"] = status.zone;
    value["address"] = status.address;
    value["sent_us"] = status.sentUs;
    if (status.echoUs) {
        value["echo_us"] = *status.echoUs;
    }
    value["interval_ms"] = static_cast<std::uint64_t>(status.interval.count());
    value["compact"] = status.readsCompact;
    value["configuration"] = status.configuration;
    if (status.confirmedAgeMs) {
        value["confirmed_age_ms"] = *status.confirmedAgeMs;
    }
    if (status.listReachableMs) {
        value["list_in_reach_ms"] = *status.listReachableMs;
    }
    value["wall_us"] = status.wallUs;
    if (status.leaving) {
        value["leaving"] = true;
    }
    if (status.holdsDuties) {
        value["holds_duties"] = true;
    }
    value["demand"] = emptyObject();
    for (const auto &[workspace, demand] : status.demand) {
        value["demand"][workspace] = static_cast<std::uint64_t>(std::llround(demand));
    }
    value["used"] = countsToJson(status.used);
    value["busy"] = emptyObject();
    for (const auto &[service, busy] : status.busy) {
        value["busy"][service] = busy;
    }
    value["outstanding"] = emptyObject();
    for (const auto &[instance, outstanding] : status.outstanding) {
        value["outstanding"][instance].append(outstanding.running);
        value["outstanding"][instance].append(outstanding.prefillTokens);
    }
    value["usage"] = Json::Value(Json::arrayValue);
    for (const auto &[window, starts] : status.usage) {
        Json::Value entry(Json::arrayValue);
        entry.append(window);
        entry.append(emptyObject());
        for (const auto &[start, counts] : starts) {
            entry[1][start] = countsToJson(counts);
        }
        value["usage"].append(std::move(entry));
    }
    for (const limits::LimitReport &report : status.upstreamLimits) {
        value["upstream_limits"].append(toJson(report));
    }
    for (const streams::VersionReport &report : status.versions) {
        value["versions"].append(toJson(report));
    }
    if (status.streams.size() > 0) {
        value["streams"] = streams::toJson(status.streams);
    }
    for (const quarantine::SuspectReport &report : status.suspects) {
        value[suspectsName(report.id.kind)].append(quarantine::toJson(report));
    }
    if (!status.forwardingToken.empty()) {
        value["forwarding_token"] = status.forwardingToken;
    }
    for (const std::string &service : status.unreachedServices) {
        value["unreached_services"].append(service);
    }
    value["peers"] = Json::Value(Json::arrayValue);
    for (const std::string &peer : status.peers) {
        value["peers"].append(peer);
    }
    return toText(value);
}

std::optional<PeerStatus> decodedJsonStatus(std::string_view datagram)
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
    PeerStatus status;
    status.host = *host;
    status.start = *start;
    status.zone = *zone;
    status.address = *address;
    status.sentUs = *sent;
    status.echoUs = unsignedMember(*value, "echo_us");
    status.interval = boundedInterval(unsignedMember(*value, "interval_ms").value_or(ShortestStatusInterval.count()));
    status.readsCompact = boolMember(*value, "compact", false);
    status.configuration = *configuration;
    status.confirmedAgeMs = unsignedMember(*value, "confirmed_age_ms");
    status.listReachableMs = unsignedMember(*value, "list_in_reach_ms");
    status.wallUs = *wall;
    status.leaving = boolMember(*value, "leaving", false);
    status.holdsDuties = boolMember(*value, "holds_duties", false);
    if (!readRates((*value)["demand"], status.demand) || !readCounts((*value)["used"], status.used) || !readRates((*value)["busy"], status.busy)
        || !readOutstanding((*value)["outstanding"], status.outstanding) || !readUsage((*value)["usage"], status.usage)
        || !readUpstreamLimits((*value)["upstream_limits"], status.upstreamLimits) || !readVersions((*value)["versions"], status.versions)
        || !readStreams((*value)["streams"], status.streams) || !readNames((*value)["unreached_services"], status.unreachedServices)
        || !readSuspects(*value, quarantine::SuspectKind::PromptPart, status.suspects)
        || !readSuspects(*value, quarantine::SuspectKind::Request, status.suspects)) {
        return std::nullopt;
    }
    status.forwardingToken = stringMember(*value, "forwarding_token").value_or("");
    if (!readNames((*value)["peers"], status.peers)) {
        return std::nullopt;
    }
    return status;
}

}
