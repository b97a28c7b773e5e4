#include "quarantine/suspectrecords.h"

#include "base/json.h"
#include "quarantine/suspectjson.h"

namespace rosemaryshift::quarantine {

namespace {

constexpr const char *KindMember = "kind";
constexpr const char *RequestKind = "request";
constexpr const char *PartKind = "part";

Json::Value kindedJson(const SuspectReport &report)
{
    Json::Value value = toJson(report);
    value[KindMember] = report.id.kind == SuspectKind::Request ? RequestKind : PartKind;
    return value;
}

std::optional<SuspectReport> kindedReport(const Json::Value &value)
{
    const std::optional<std::string> kind = value.isObject() ? stringMember(value, KindMember) : std::nullopt;
    if (!kind || (*kind != RequestKind && *kind != PartKind)) {
        return std::nullopt;
    }
    return suspectReport(*kind == RequestKind ? SuspectKind::Request : SuspectKind::PromptPart, value);
}

}

Json::Value toJson(const VerdictRecord &record)
{
    Json::Value value;
    value["suspect"] = kindedJson(record.report);
    value["failed_trials"] = record.failedTrials;
    if (record.trialAgeMs) {
        value["trial_age_ms"] = *record.trialAgeMs;
    }
    return value;
}

std::optional<VerdictRecord> verdictRecord(const Json::Value &value)
{
    std::optional<SuspectReport> report = value.isObject() ? kindedReport(value["suspect"]) : std::nullopt;
    if (!report) {
        return std::nullopt;
    }
    return VerdictRecord{std::move(*report), unsignedMember(value, "failed_trials").value_or(0), unsignedMember(value, "trial_age_ms")};
}

Json::Value toJson(const EvidenceRecord &record)
{
    Json::Value value;
    value["suspects"] = Json::Value(Json::arrayValue);
    for (const SuspectReport &suspect : record.suspects) {
        value["suspects"].append(kindedJson(suspect));
    }
    value["services"] = Json::Value(Json::objectValue);
    for (const auto &[service, evidence] : record.services) {
        Json::Value &entry = value["services"][service];
        entry["broken"] = evidence.broken;
        entry["complete"] = evidence.complete;
        entry["crashes"] = Json::Value(Json::arrayValue);
        for (const CrashReport &crash : evidence.crashes) {
            Json::Value pair(Json::arrayValue);
            pair.append(crash.instance);
            pair.append(crash.ageMs);
            entry["crashes"].append(std::move(pair));
        }
    }
    return value;
}

std::optional<EvidenceRecord> evidenceRecord(const Json::Value &value)
{
    if (!value.isObject() || !value["suspects"].isArray() || !value["services"].isObject()) {
        return std::nullopt;
    }
    EvidenceRecord record;
    for (const Json::Value &suspect : value["suspects"]) {
        std::optional<SuspectReport> report = kindedReport(suspect);
        if (!report) {
            return std::nullopt;
        }
        record.suspects.push_back(std::move(*report));
    }
    for (auto service = value["services"].begin(); service != value["services"].end(); ++service) {
        if (!service->isObject() || !(*service)["crashes"].isArray()) {
            return std::nullopt;
        }
        ServiceEvidence &evidence = record.services[service.name()];
        evidence.broken = unsignedMember(*service, "broken").value_or(0);
        evidence.complete = unsignedMember(*service, "complete").value_or(0);
        for (const Json::Value &crash : (*service)["crashes"]) {
            if (!crash.isArray() || crash.size() != 2 || !crash[0].isString() || !crash[1].isUInt64()) {
                return std::nullopt;
            }
            evidence.crashes.push_back({crash[0].asString(), crash[1].asUInt64(), std::nullopt});
        }
    }
    return record;
}

}
