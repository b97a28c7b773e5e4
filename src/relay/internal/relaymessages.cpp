#include "relay/relaymessages.h"

#include "base/json.h"

namespace rosemaryshift::relay {

namespace {

/// An older age is of no use, and would overflow when it is subtracted from a time.
constexpr std::uint64_t MaxAgeMs = 3'600'000;

void addAge(Json::Value &object, const char *key, std::optional<std::chrono::milliseconds> age)
{
    if (age) {
        object[key] = static_cast<Json::UInt64>(age->count());
    }
}

std::optional<std::chrono::milliseconds> ageMember(const Json::Value &object, const char *key)
{
    const std::optional<std::uint64_t> age = unsignedMember(object, key);
    return age && *age <= MaxAgeMs ? std::optional(std::chrono::milliseconds(*age)) : std::nullopt;
}

void addEra(Json::Value &object, const char *key, ports::LogEra era)
{
    if (era) {
        object[key] = static_cast<Json::UInt64>(*era);
    }
}

std::optional<Json::Value> parsedObject(std::string_view datagram)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(datagram, reason);
    return value && value->isObject() ? value : std::nullopt;
}

std::optional<Change> change(const Json::Value &object)
{
    if (!object.isObject()) {
        return std::nullopt;
    }
    const std::optional<std::string> key = stringMember(object, "key");
    const std::optional<std::uint64_t> offset = unsignedMember(object, "offset");
    const std::optional<std::string> value = stringMember(object, "value");
    if (!key || !offset || value.has_value() != object.isMember("value")) {
        return std::nullopt;
    }
    return Change{*key, value, *offset};
}

std::optional<Changes> changesMember(const Json::Value &object)
{
    const std::optional<std::uint64_t> next = unsignedMember(object, "next");
    const Json::Value &list = object["changes"];
    if (!next || !list.isArray()) {
        return std::nullopt;
    }
    Changes changes;
    changes.next = {*next, unsignedMember(object, "next_era")};
    changes.more = boolMember(object, "more", false);
    for (const Json::Value &entry : list) {
        std::optional<Change> parsed = change(entry);
        if (!parsed) {
            return std::nullopt;
        }
        changes.changes.push_back(std::move(*parsed));
    }
    return changes;
}

}

std::string encoded(const Query &query)
{
    Json::Value object;
    object["query"] = static_cast<Json::UInt64>(query.number);
    object["from"] = static_cast<Json::UInt64>(query.from.offset);
    addEra(object, "from_era", query.from.era);
    return toText(object);
}

std::string encoded(const Answer &answer)
{
    Json::Value object;
    object["answer"] = static_cast<Json::UInt64>(answer.number);
    object["configuration"] = static_cast<Json::UInt64>(answer.configuration);
    addAge(object, "confirmed_ms", answer.confirmedAge);
    addAge(object, "list_ms", answer.listAge);
    addEra(object, "era", answer.era);
    object["next"] = static_cast<Json::UInt64>(answer.changes.next.offset);
    addEra(object, "next_era", answer.changes.next.era);
    object["more"] = answer.changes.more;
    Json::Value &list = object["changes"];
    list = Json::Value(Json::arrayValue);
    for (const Change &change : answer.changes.changes) {
        Json::Value entry;
        entry["key"] = change.key;
        entry["offset"] = static_cast<Json::UInt64>(change.offset);
        if (change.value) {
            entry["value"] = *change.value;
        }
        list.append(entry);
    }
    return toText(object);
}

std::optional<Query> decodedQuery(std::string_view datagram)
{
    const std::optional<Json::Value> object = parsedObject(datagram);
    const std::optional<std::uint64_t> number = object ? unsignedMember(*object, "query") : std::nullopt;
    const std::optional<std::uint64_t> from = object ? unsignedMember(*object, "from") : std::nullopt;
    return number && from ? std::optional(Query{*number, {*from, unsignedMember(*object, "from_era")}}) : std::nullopt;
}

std::optional<Answer> decodedAnswer(std::string_view datagram)
{
    const std::optional<Json::Value> object = parsedObject(datagram);
    if (!object) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> number = unsignedMember(*object, "answer");
    const std::optional<std::uint64_t> configuration = unsignedMember(*object, "configuration");
    std::optional<Changes> changes = changesMember(*object);
    if (!number || !configuration || !changes) {
        return std::nullopt;
    }
    return Answer{
        *number, *configuration, ageMember(*object, "confirmed_ms"), ageMember(*object, "list_ms"), std::move(*changes), unsignedMember(*object, "era")};
}

}
