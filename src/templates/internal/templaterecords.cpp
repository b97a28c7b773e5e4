#include "templates/templaterecords.h"

#include "base/json.h"

namespace rosemaryshift::templates {

namespace {

constexpr const char *ChangeKind = "template";
constexpr const char *CarriedKind = "template_carried";

std::optional<TemplateRecord> changeFromJson(const Json::Value &object)
{
    const std::optional<std::string> workspace = stringMember(object, "workspace");
    const std::optional<std::uint64_t> base = unsignedMember(object, "base");
    const std::optional<std::string> change = stringMember(object, "change");
    const std::optional<std::string> text = stringMember(object, "text");
    if (!workspace || !base || !change || !text) {
        return std::nullopt;
    }
    return TemplateChange{*workspace, *base, *change, stringMember(object, "author").value_or("unknown"), *text};
}

}

bool StatedRevision::supersedes(const StatedRevision &other) const
{
    return revision != other.revision ? revision > other.revision : offset < other.offset;
}

std::string toRecord(const TemplateChange &change)
{
    Json::Value object;
    object["kind"] = ChangeKind;
    object["workspace"] = change.workspace;
    object["base"] = Json::UInt64(change.base);
    object["change"] = change.changeId;
    object["author"] = change.author;
    object["text"] = change.text;
    return toText(object);
}

std::string toRecord(const StatedRevision &revision)
{
    Json::Value object = toJson(revision);
    object["kind"] = CarriedKind;
    return toText(object);
}

std::optional<TemplateRecord> parseTemplateRecord(std::string_view record)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(record, reason);
    if (!object || !object->isObject()) {
        return std::nullopt;
    }
    const std::optional<std::string> kind = stringMember(*object, "kind");
    if (kind == ChangeKind) {
        return changeFromJson(*object);
    }
    return kind == CarriedKind ? std::optional<TemplateRecord>(statedRevisionFromJson(*object)) : std::nullopt;
}

Json::Value toJson(const StatedRevision &revision)
{
    Json::Value object;
    object["workspace"] = revision.workspace;
    object["revision"] = Json::UInt64(revision.revision);
    object["offset"] = Json::UInt64(revision.offset);
    object["change"] = revision.changeId;
    object["author"] = revision.author;
    object["text"] = revision.text;
    return object;
}

std::optional<StatedRevision> statedRevisionFromJson(const Json::Value &object)
{
    const std::optional<std::string> workspace = stringMember(object, "workspace");
    const std::optional<std::uint64_t> revision = unsignedMember(object, "revision");
    const std::optional<std::uint64_t> offset = unsignedMember(object, "offset");
    const std::optional<std::string> change = stringMember(object, "change");
    const std::optional<std::string> text = stringMember(object, "text");
    if (!workspace || !revision || *revision == 0 || !offset || !change || !text) {
        return std::nullopt;
    }
    return StatedRevision{*workspace, *revision, *offset, *change, stringMember(object, "author").value_or("unknown"), *text};
}

}
