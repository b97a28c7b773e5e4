#include "base/json.h"
#include "duties/dutylease.h"

#include <json/value.h>

namespace rosemaryshift::duties {

namespace {

std::optional<ports::UsageReport> decodedReport(const Json::Value &value)
{
    const std::optional<std::uint64_t> window = unsignedMember(value, "window");
    if (!window) {
        return std::nullopt;
    }
    std::optional<std::map<std::string, std::uint64_t>> requests = countsFromJson(value["requests"]);
    if (!requests) {
        return std::nullopt;
    }
    return ports::UsageReport{*window, std::move(*requests)};
}

}

std::string encoded(const DutyRecord &record)
{
    Json::Value value;
    value["holder"] = record.holder;
    value["start"] = record.start;
    value["fence"] = record.fence;
    value["renewal"] = record.renewal;
    if (record.era) {
        value["era"] = static_cast<Json::UInt64>(*record.era);
    }
    if (record.firstWindow > 0) {
        value["first_window"] = static_cast<Json::UInt64>(record.firstWindow);
    }
    for (const std::string &host : record.recentHolders) {
        value["recent_holders"].append(host);
    }
    value["decided"] = Json::Value(Json::arrayValue);
    for (const ports::UsageReport &report : record.decided) {
        Json::Value entry;
        entry["window"] = report.window;
        entry["requests"] = countsToJson(report.requests);
        value["decided"].append(std::move(entry));
    }
    return toText(value);
}

std::optional<DutyRecord> decodedDutyRecord(std::string_view text, std::string &reason)
{
    const std::optional<Json::Value> value = parseJson(text, reason);
    if (!value) {
        return std::nullopt;
    }
    const std::optional<std::string> holder = stringMember(*value, "holder");
    const std::optional<std::string> start = stringMember(*value, "start");
    const std::optional<std::uint64_t> fence = unsignedMember(*value, "fence");
    const std::optional<std::uint64_t> renewal = unsignedMember(*value, "renewal");
    if (!holder || !start || !fence || !renewal || !(*value)["decided"].isArray()) {
        reason = "a field of the duty record is missing or malformed";
        return std::nullopt;
    }
    DutyRecord record{*holder, *start, *fence, *renewal, {}, unsignedMember(*value, "era"), unsignedMember(*value, "first_window").value_or(0)};
    for (const Json::Value &host : (*value)["recent_holders"]) {
        if (!host.isString()) {
            reason = "an entry of \"recent_holders\" is malformed";
            return std::nullopt;
        }
        record.recentHolders.push_back(host.asString());
    }
    for (const Json::Value &entry : (*value)["decided"]) {
        std::optional<ports::UsageReport> report = decodedReport(entry);
        if (!report) {
            reason = "an entry of \"decided\" is malformed";
            return std::nullopt;
        }
        record.decided.push_back(std::move(*report));
    }
    return record;
}

}
