#include "base/json.h"
#include "base/text.h"
#include "bookings/bookingtypes.h"

namespace rosemaryshift::bookings {

namespace {

constexpr const char *ClaimKind = "booking_claim";
constexpr const char *ReleaseKind = "booking_release";
constexpr const char *OutcomeKind = "booking_outcome";

Json::Value toJson(const requests::ServiceAnswer &answer)
{
    Json::Value object;
    object["status"] = answer.status;
    object["body"] = answer.body;
    object["headers"] = Json::Value(Json::arrayValue);
    for (const auto &[name, value] : answer.headers) {
        Json::Value field(Json::arrayValue);
        field.append(name);
        field.append(value);
        object["headers"].append(field);
    }
    return object;
}

std::optional<requests::ServiceAnswer> answerFromJson(const Json::Value &object)
{
    const std::optional<std::uint64_t> status = unsignedMember(object, "status");
    const std::optional<std::string> body = stringMember(object, "body");
    if (!status || !body) {
        return std::nullopt;
    }
    requests::ServiceAnswer answer;
    answer.status = static_cast<int>(*status);
    answer.body = *body;
    for (const Json::Value &field : object["headers"]) {
        if (field.isArray() && field.size() == 2 && field[0].isString() && field[1].isString()) {
            answer.headers.emplace_back(field[0].asString(), field[1].asString());
        }
    }
    return answer;
}

Json::Value recordFields(const ClaimRecord &record)
{
    Json::Value object;
    object["kind"] = ClaimKind;
    object["owner"] = record.owner;
    object["digest"] = record.digest;
    return object;
}

Json::Value recordFields(const ReleaseRecord &)
{
    Json::Value object;
    object["kind"] = ReleaseKind;
    return object;
}

Json::Value recordFields(const OutcomeRecord &record)
{
    Json::Value object;
    object["kind"] = OutcomeKind;
    object["digest"] = record.outcome.digest;
    object["run"] = std::string(name(record.outcome.run));
    if (record.outcome.answer) {
        object["answer"] = toJson(*record.outcome.answer);
    }
    return object;
}

std::optional<BookingRecord> claimFromJson(const Json::Value &object, ClaimRecord record)
{
    const std::optional<std::string> owner = stringMember(object, "owner");
    const std::optional<std::string> digest = stringMember(object, "digest");
    if (!owner || !digest || record.claim.empty()) {
        return std::nullopt;
    }
    record.owner = *owner;
    record.digest = *digest;
    return record;
}

std::optional<BookingRecord> outcomeFromJson(const Json::Value &object, OutcomeRecord record)
{
    const std::optional<std::string> digest = stringMember(object, "digest");
    const std::optional<std::string> run = stringMember(object, "run");
    if (!digest || !run) {
        return std::nullopt;
    }
    record.outcome.digest = *digest;
    record.outcome.run = *run == name(RunState::Ran) ? RunState::Ran : RunState::Unknown;
    if (object.isMember("answer")) {
        record.outcome.answer = answerFromJson(object["answer"]);
    }
    return record;
}

}

const std::string &keyOf(const BookingRecord &record)
{
    return std::visit([](const auto &typed) -> const std::string & { return typed.key; }, record);
}

std::int64_t createdAtMs(const BookingRecord &record)
{
    return std::visit([](const auto &typed) { return typed.atMs; }, record);
}

std::string toRecord(const BookingRecord &record)
{
    Json::Value object = std::visit([](const auto &typed) { return recordFields(typed); }, record);
    object["key"] = keyOf(record);
    object["claim"] = std::visit([](const auto &typed) { return typed.claim; }, record);
    object["at_ms"] = Json::Int64(createdAtMs(record));
    return toText(object);
}

std::optional<BookingRecord> bookingFromRecord(std::string_view record)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(record, reason);
    if (!object || !object->isObject()) {
        return std::nullopt;
    }
    const std::optional<std::string> kind = stringMember(*object, "kind");
    const std::optional<std::string> key = stringMember(*object, "key");
    const std::optional<std::string> claim = stringMember(*object, "claim");
    const std::optional<std::uint64_t> atMs = unsignedMember(*object, "at_ms");
    if (!kind || !key || !claim || !atMs || *atMs > static_cast<std::uint64_t>(INT64_MAX)) {
        return std::nullopt;
    }
    const std::int64_t time = static_cast<std::int64_t>(*atMs);
    if (*kind == ClaimKind) {
        return claimFromJson(*object, {.key = *key, .claim = *claim, .owner = {}, .digest = {}, .atMs = time});
    }
    if (*kind == ReleaseKind) {
        return ReleaseRecord{*key, *claim, time};
    }
    if (*kind == OutcomeKind) {
        return outcomeFromJson(*object, {.key = *key, .claim = *claim, .outcome = {}, .atMs = time});
    }
    return std::nullopt;
}

}
