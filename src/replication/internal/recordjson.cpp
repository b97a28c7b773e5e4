#include "replication/recordjson.h"

#include "base/json.h"
#include "base/text.h"

#include <algorithm>

namespace rosemaryshift::replication {

using requests::RequestKind;
using requests::RequestSpec;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::uint64_t MaxDeadlineMs = 24ULL * 3600 * 1000;
constexpr const char *ChatKind = "chat";
constexpr const char *ServiceKind = "service";

Json::Value specJson(const RequestSpec &spec)
{
    Json::Value value;
    value["kind"] = spec.kind == RequestKind::Chat ? ChatKind : ServiceKind;
    value["workspace"] = spec.workspace;
    value["target"] = spec.target;
    value["class"] = std::string(name(spec.trafficClass));
    value["key"] = spec.idempotencyKey;
    value["priority"] = spec.priority;
    value["prompt_tokens"] = spec.promptTokens;
    value["prefix_hash"] = Json::UInt64(spec.prefixHash);
    value["max_tokens"] = spec.maxTokens;
    value["include_usage"] = spec.includeUsage;
    value["method"] = spec.method;
    value["path"] = spec.path;
    value["headers"] = Json::Value(Json::arrayValue);
    for (const auto &[field, text] : spec.headers) {
        Json::Value header;
        header["name"] = field;
        header["value"] = text;
        value["headers"].append(std::move(header));
    }
    value["body"] = spec.body;
    return value;
}

std::uint32_t numberMember(const Json::Value &value, const char *key)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(unsignedMember(value, key).value_or(0), UINT32_MAX));
}

std::optional<RequestSpec> specFromJson(const Json::Value &value)
{
    const std::string kind = stringMember(value, "kind").value_or("");
    const std::optional<TrafficClass> trafficClass = trafficClassFromName(stringMember(value, "class").value_or(""));
    if ((kind != ChatKind && kind != ServiceKind) || !trafficClass || !value["headers"].isArray()) {
        return std::nullopt;
    }
    RequestSpec spec;
    spec.kind = kind == ChatKind ? RequestKind::Chat : RequestKind::Service;
    spec.workspace = stringMember(value, "workspace").value_or("");
    spec.target = stringMember(value, "target").value_or("");
    spec.trafficClass = *trafficClass;
    spec.idempotencyKey = stringMember(value, "key").value_or("");
    spec.priority = numberMember(value, "priority");
    spec.promptTokens = numberMember(value, "prompt_tokens");
    spec.prefixHash = unsignedMember(value, "prefix_hash").value_or(0);
    spec.maxTokens = numberMember(value, "max_tokens");
    spec.includeUsage = boolMember(value, "include_usage", false);
    spec.method = stringMember(value, "method").value_or("");
    spec.path = stringMember(value, "path").value_or("");
    for (const Json::Value &header : value["headers"]) {
        spec.headers.emplace_back(stringMember(header, "name").value_or(""), stringMember(header, "value").value_or(""));
    }
    spec.body = stringMember(value, "body").value_or("");
    return spec;
}

}

Json::Value toJson(const ReplicaRecord &record, std::size_t from, steady_clock::time_point now)
{
    Json::Value value;
    value["id"] = record.id;
    value["owner"] = record.owner;
    value["spec"] = specJson(record.spec);
    const milliseconds left = std::chrono::duration_cast<milliseconds>(record.deadline - now);
    value["left_ms"] = Json::UInt64(std::max(left, milliseconds(0)).count());
    value["from"] = Json::UInt64(from);
    value["pieces"] = Json::Value(Json::arrayValue);
    for (std::size_t i = from; i < record.chunks.size(); ++i) {
        Json::Value piece;
        piece["delta"] = record.chunks[i].delta;
        piece["content"] = record.chunks[i].content;
        piece["tokens"] = record.chunks[i].tokens;
        value["pieces"].append(std::move(piece));
    }
    return value;
}

std::optional<ReplicaRecord> recordFromJson(const Json::Value &value, steady_clock::time_point now)
{
    const std::optional<std::string> id = stringMember(value, "id");
    const std::optional<std::string> owner = stringMember(value, "owner");
    const std::optional<std::uint64_t> leftMs = unsignedMember(value, "left_ms");
    if (!id || !owner || !leftMs || !value["pieces"].isArray() || !value["spec"].isObject()) {
        return std::nullopt;
    }
    std::optional<RequestSpec> spec = specFromJson(value["spec"]);
    if (!spec) {
        return std::nullopt;
    }
    ReplicaRecord record;
    record.id = *id;
    record.owner = *owner;
    record.spec = std::move(*spec);
    record.spec.deadline = milliseconds(std::min(*leftMs, MaxDeadlineMs));
    record.deadline = now + record.spec.deadline;
    for (const Json::Value &piece : value["pieces"]) {
        record.chunks.push_back({stringMember(piece, "delta").value_or("{}"), stringMember(piece, "content").value_or(""), numberMember(piece, "tokens")});
    }
    return record;
}

}
