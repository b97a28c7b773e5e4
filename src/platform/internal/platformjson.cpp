#include "base/json.h"
#include "platform/iplatform.h"

#include <limits>

namespace rosemaryshift::platform {

namespace {

constexpr std::uint32_t MaxSlots = 100'000;

std::optional<HostKind> kindFromName(std::string_view text)
{
    if (text == "entry") {
        return HostKind::Entry;
    }
    if (text == "engine") {
        return HostKind::Engine;
    }
    if (text == "service") {
        return HostKind::Service;
    }
    return std::nullopt;
}

std::string_view nameOf(HostKind kind)
{
    switch (kind) {
    case HostKind::Entry:
        return "entry";
    case HostKind::Engine:
        return "engine";
    case HostKind::Service:
        return "service";
    }
    return "";
}

Json::Value toJson(const ListedHost &host)
{
    Json::Value row;
    row["name"] = host.name;
    row["kind"] = std::string(nameOf(host.kind));
    row["address"] = host.endpoint.text();
    row["zone"] = host.zone;
    row["machine_class"] = host.machineClass;
    row["price"] = host.price;
    row["slots"] = host.slots;
    row["targets"] = Json::Value(Json::arrayValue);
    for (const std::string &target : host.targets) {
        row["targets"].append(target);
    }
    row["checks_fencing"] = host.checksFencing;
    row["reclaimable"] = host.reclaimable;
    if (host.leavesIn) {
        row["leaves_in_ms"] = Json::UInt64(host.leavesIn->count());
    }
    return row;
}

std::vector<std::string> stringElements(const Json::Value &list)
{
    std::vector<std::string> values;
    if (!list.isArray()) {
        return values;
    }
    for (const Json::Value &element : list) {
        if (element.isString()) {
            values.push_back(element.asString());
        }
    }
    return values;
}

std::optional<ListedHost> hostFromJson(const Json::Value &row)
{
    const std::optional<std::string> name = stringMember(row, "name");
    const std::optional<HostKind> kind = kindFromName(stringMember(row, "kind").value_or(""));
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(stringMember(row, "address").value_or(""));
    const std::optional<std::string> zone = stringMember(row, "zone");
    if (!name || name->empty() || !kind || !endpoint || !zone) {
        return std::nullopt;
    }
    ListedHost host;
    host.name = *name;
    host.kind = *kind;
    host.endpoint = *endpoint;
    host.zone = *zone;
    host.machineClass = stringMember(row, "machine_class").value_or("");
    host.price = row["price"].isNumeric() ? row["price"].asDouble() : 0;
    host.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(unsignedMember(row, "slots").value_or(1), MaxSlots));
    host.targets = stringElements(row["targets"]);
    host.checksFencing = boolMember(row, "checks_fencing", false);
    host.reclaimable = boolMember(row, "reclaimable", false);
    const std::optional<std::uint64_t> leavesIn = unsignedMember(row, "leaves_in_ms");
    if (leavesIn) {
        host.leavesIn = std::chrono::milliseconds(std::min<std::uint64_t>(*leavesIn, std::numeric_limits<std::int32_t>::max()));
    }
    return host;
}

}

std::string hostListText(const HostList &list)
{
    Json::Value object;
    object["version"] = Json::UInt64(list.version);
    object["hosts"] = Json::Value(Json::arrayValue);
    for (const ListedHost &host : list.hosts) {
        object["hosts"].append(toJson(host));
    }
    return toText(object);
}

std::optional<HostList> hostListFromJson(std::string_view text)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(text, reason);
    if (!object || !object->isObject() || !(*object)["hosts"].isArray()) {
        return std::nullopt;
    }
    HostList list;
    list.version = unsignedMember(*object, "version").value_or(0);
    for (const Json::Value &row : (*object)["hosts"]) {
        std::optional<ListedHost> host = hostFromJson(row);
        if (!host) {
            ++list.skipped;
            continue;
        }
        list.hosts.push_back(std::move(*host));
    }
    return list;
}

std::optional<LogPage> logPageFromJson(std::string_view text)
{
    std::string reason;
    const std::optional<Json::Value> object = parseJson(text, reason);
    if (!object || !object->isObject() || !(*object)["records"].isArray()) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> oldest = unsignedMember(*object, "oldest");
    const std::optional<std::uint64_t> next = unsignedMember(*object, "next");
    if (!oldest || !next) {
        return std::nullopt;
    }
    LogPage page{*oldest, *next, {}};
    for (const Json::Value &row : (*object)["records"]) {
        const std::optional<std::uint64_t> offset = unsignedMember(row, "offset");
        const std::optional<std::string> data = stringMember(row, "data");
        if (!offset || !data) {
            return std::nullopt;
        }
        page.records.push_back({*offset, *data});
    }
    return page;
}

}
