#include "base/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace rosemaryshift {

std::optional<Json::Value> parseJson(std::string_view text, std::string &reason)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["strictRoot"] = false;
    builder["stackLimit"] = 64;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &reason)) {
            return value;
        }
    } catch (const Json::Exception &error) {
        reason = error.what();
    }
    return std::nullopt;
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

std::optional<std::string> stringMember(const Json::Value &object, const char *key)
{
    if (!object.isObject() || !object[key].isString()) {
        return std::nullopt;
    }
    return object[key].asString();
}

std::optional<std::uint64_t> unsignedMember(const Json::Value &object, const char *key)
{
    if (!object.isObject() || !object[key].isUInt64()) {
        return std::nullopt;
    }
    return object[key].asUInt64();
}

Json::Value countsToJson(const std::map<std::string, std::uint64_t> &counts)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, count] : counts) {
        value[name] = count;
    }
    return value;
}

std::optional<std::map<std::string, std::uint64_t>> countsFromJson(const Json::Value &value)
{
    if (!value.isObject()) {
        return std::nullopt;
    }
    std::map<std::string, std::uint64_t> counts;
    for (auto member = value.begin(); member != value.end(); ++member) {
        if (!member->isUInt64()) {
            return std::nullopt;
        }
        counts[member.name()] = member->asUInt64();
    }
    return counts;
}

bool boolMember(const Json::Value &object, const char *key, bool fallback)
{
    if (!object.isObject() || !object[key].isBool()) {
        return fallback;
    }
    return object[key].asBool();
}

}
