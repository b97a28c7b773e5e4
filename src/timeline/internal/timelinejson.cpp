#include "timeline/timelinejson.h"

#include "base/json.h"

#include <algorithm>
#include <tuple>

namespace rosemaryshift::timeline {

namespace {

void addIfSet(Json::Value &object, const char *key, const std::string &value)
{
    if (!value.empty()) {
        object[key] = value;
    }
}

std::optional<TimelineEvent> eventFromJson(const Json::Value &value)
{
    const std::optional<std::string> stampText = stringMember(value, "stamp");
    const std::optional<std::string> kindText = stringMember(value, "kind");
    if (!stampText || !kindText) {
        return std::nullopt;
    }
    const std::optional<Stamp> stamp = Stamp::parse(*stampText);
    const std::optional<EventKind> kind = eventKindFromName(*kindText);
    if (!stamp || !kind) {
        return std::nullopt;
    }
    TimelineEvent event;
    event.stamp = *stamp;
    event.kind = *kind;
    event.host = stringMember(value, "host").value_or("");
    event.incarnation = stringMember(value, "incarnation").value_or("");
    event.sequence = unsignedMember(value, "sequence").value_or(0);
    event.fields.request = stringMember(value, "request").value_or("");
    event.fields.attempt = stringMember(value, "attempt").value_or("");
    event.fields.workspace = stringMember(value, "workspace").value_or("");
    event.fields.upstream = stringMember(value, "upstream").value_or("");
    event.fields.detail = stringMember(value, "detail").value_or("");
    return event;
}

void appendIfSet(std::string &text, std::string_view key, const std::string &value)
{
    if (!value.empty()) {
        text += " " + std::string(key) + "=" + value;
    }
}

}

Json::Value toJson(const TimelineEvent &event)
{
    Json::Value object;
    object["stamp"] = event.stamp.text();
    object["host"] = event.host;
    object["incarnation"] = event.incarnation;
    object["sequence"] = Json::UInt64(event.sequence);
    object["kind"] = std::string(name(event.kind));
    addIfSet(object, "request", event.fields.request);
    addIfSet(object, "attempt", event.fields.attempt);
    addIfSet(object, "workspace", event.fields.workspace);
    addIfSet(object, "upstream", event.fields.upstream);
    addIfSet(object, "detail", event.fields.detail);
    return object;
}

Json::Value toJson(const TimelinePage &page)
{
    Json::Value object;
    object["dropped"] = Json::UInt64(page.dropped);
    object["events"] = Json::Value(Json::arrayValue);
    for (const TimelineEvent &event : page.events) {
        object["events"].append(toJson(event));
    }
    return object;
}

std::optional<TimelinePage> pageFromJson(const Json::Value &value, std::size_t &skipped)
{
    if (!value.isObject() || !value["events"].isArray()) {
        return std::nullopt;
    }
    TimelinePage page;
    page.dropped = unsignedMember(value, "dropped").value_or(0);
    for (const Json::Value &element : value["events"]) {
        std::optional<TimelineEvent> event = eventFromJson(element);
        if (!event) {
            ++skipped;
            continue;
        }
        page.events.push_back(std::move(*event));
    }
    return page;
}

std::string toText(const TimelineEvent &event)
{
    std::string text = event.stamp.text() + " " + event.host + " " + std::string(name(event.kind));
    appendIfSet(text, "request", event.fields.request);
    appendIfSet(text, "attempt", event.fields.attempt);
    appendIfSet(text, "workspace", event.fields.workspace);
    appendIfSet(text, "upstream", event.fields.upstream);
    if (!event.fields.detail.empty()) {
        text += " (" + event.fields.detail + ")";
    }
    return text;
}

void sortByStamp(std::vector<TimelineEvent> &events)
{
    std::ranges::sort(events, [](const TimelineEvent &a, const TimelineEvent &b) {
        return std::tie(a.stamp, a.host, a.incarnation, a.sequence) < std::tie(b.stamp, b.host, b.incarnation, b.sequence);
    });
}

}
