#include "quarantine/suspectjson.h"

#include "base/json.h"
#include "base/text.h"

namespace rosemaryshift::quarantine {

namespace {

/// Name of the field that identifies a suspect of this @p kind.
const char *suspectName(SuspectKind kind)
{
    return kind == SuspectKind::Request ? "request" : "part";
}

}

Json::Value toJson(const SuspectReport &report)
{
    Json::Value value;
    value[suspectName(report.id.kind)] = hexadecimal(report.id.number);
    value["service"] = report.service;
    value["crashes"] = Json::Value(Json::arrayValue);
    for (const CrashReport &crash : report.crashes) {
        Json::Value entry(Json::arrayValue);
        entry.append(crash.instance);
        entry.append(crash.ageMs);
        value["crashes"].append(std::move(entry));
    }
    // Beside the crashes, since hosts of an earlier version reject entries of more than two elements.
    value["present_ms"] = Json::Value(Json::arrayValue);
    for (const CrashReport &crash : report.crashes) {
        value["present_ms"].append(crash.presentMs ? Json::Value(*crash.presentMs) : Json::Value());
    }
    if (report.quarantined) {
        value["quarantined"] = true;
    }
    if (report.completedAgeMs) {
        value["completed_age_ms"] = *report.completedAgeMs;
    }
    return value;
}

std::optional<SuspectReport> suspectReport(SuspectKind kind, const Json::Value &value)
{
    const std::optional<std::string> text = stringMember(value, suspectName(kind));
    const std::optional<std::uint64_t> number = text ? parseHexadecimal(*text) : std::nullopt;
    if (!number || !value["crashes"].isArray()) {
        return std::nullopt;
    }
    SuspectReport report;
    report.id = {kind, *number};
    report.service = stringMember(value, "service").value_or("");
    report.quarantined = boolMember(value, "quarantined", false);
    report.completedAgeMs = unsignedMember(value, "completed_age_ms");
    for (const Json::Value &crash : value["crashes"]) {
        if (!crash.isArray() || crash.size() != 2 || !crash[0].isString() || !crash[1].isUInt64()) {
            return std::nullopt;
        }
        const Json::Value &present
            = value["present_ms"].isArray() ? value["present_ms"][static_cast<Json::ArrayIndex>(report.crashes.size())] : Json::Value::nullSingleton();
        report.crashes.push_back({crash[0].asString(), crash[1].asUInt64(), present.isUInt64() ? std::optional(present.asUInt64()) : std::nullopt});
    }
    return report;
}

}
