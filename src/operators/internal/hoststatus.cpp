#include "operators/hoststatus.h"

#include "base/json.h"

#include <algorithm>
#include <set>

namespace rosemaryshift::operators {

namespace {

std::vector<RevisionRow> revisionsFromJson(const Json::Value &value)
{
    std::vector<RevisionRow> rows;
    if (!value.isObject()) {
        return rows;
    }
    for (const std::string &workspace : value.getMemberNames()) {
        rows.push_back({workspace, unsignedMember(value, workspace.c_str()).value_or(0)});
    }
    return rows;
}

std::optional<EntryRow> peerFromJson(const Json::Value &value)
{
    const std::optional<std::string> name = stringMember(value, "name");
    const std::optional<std::string> zone = stringMember(value, "zone");
    if (!name || !zone) {
        return std::nullopt;
    }
    EntryRow row;
    row.name = *name;
    row.zone = *zone;
    row.state = boolMember(value, "leaving", false) ? "leaving" : "seen";
    row.sameTemplates = boolMember(value, "same_templates", true);
    row.revisions = revisionsFromJson(value["revisions"]);
    row.lag = stringMember(value, "lag").value_or("");
    return row;
}

std::optional<UpstreamRow> upstreamFromJson(const Json::Value &value)
{
    const std::optional<std::string> name = stringMember(value, "name");
    const std::optional<std::string> zone = stringMember(value, "zone");
    const std::optional<std::string> address = stringMember(value, "address");
    const std::optional<std::string> state = stringMember(value, "state");
    if (!name || !zone || !address || !state) {
        return std::nullopt;
    }
    return UpstreamRow{*name, *zone, *address, *state};
}

std::optional<WorkspaceRow> workspaceFromJson(const Json::Value &value)
{
    const std::optional<std::string> name = stringMember(value, "workspace");
    const std::optional<std::uint64_t> revision = unsignedMember(value, "revision");
    if (!name || !revision) {
        return std::nullopt;
    }
    return WorkspaceRow{*name, *revision, stringMember(value, "author").value_or("")};
}

template <typename Row>
std::vector<Row> rowsFromJson(const Json::Value &list, std::optional<Row> (*parseRow)(const Json::Value &))
{
    std::vector<Row> rows;
    if (!list.isArray()) {
        return rows;
    }
    for (const Json::Value &element : list) {
        std::optional<Row> row = parseRow(element);
        if (row) {
            rows.push_back(std::move(*row));
        }
    }
    return rows;
}

std::set<std::string> zonesOf(const HostStatus &status)
{
    std::set<std::string> zones;
    for (const EntryRow &host : status.hosts) {
        zones.insert(host.zone);
    }
    for (const UpstreamRow &upstream : status.upstreams) {
        zones.insert(upstream.zone);
    }
    return zones;
}

template <typename Row>
std::string countText(const std::vector<Row> &rows, const std::string &zone, const std::string &noun)
{
    const auto inZone = [&](const Row &row) { return row.zone == zone; };
    const auto leaving = [&](const Row &row) { return row.zone == zone && row.state == "leaving"; };
    const std::string count = std::to_string(std::ranges::count_if(rows, inZone));
    return noun + " " + count + ", of which leaving " + std::to_string(std::ranges::count_if(rows, leaving));
}

std::string hostText(const EntryRow &host)
{
    std::string text = "  host " + host.name + " " + host.state;
    if (!host.sameTemplates) {
        for (const RevisionRow &row : host.revisions) {
            text += " " + row.workspace + "=" + std::to_string(row.revision);
        }
    }
    return text + (host.lag.empty() ? "" : " lags: " + host.lag) + "\n";
}

std::string zoneText(const HostStatus &status, const std::string &zone)
{
    std::string text = "zone " + zone + ": " + countText(status.hosts, zone, "hosts") + "; " + countText(status.upstreams, zone, "upstreams") + "\n";
    for (const EntryRow &host : status.hosts) {
        if (host.zone == zone) {
            text += hostText(host);
        }
    }
    for (const UpstreamRow &upstream : status.upstreams) {
        if (upstream.zone == zone) {
            text += "  upstream " + upstream.name + " " + upstream.address + " " + upstream.state + "\n";
        }
    }
    return text;
}

}

std::optional<HostStatus> statusFromJson(const Json::Value &value)
{
    if (!value.isObject() || !value["ready"].isBool()) {
        return std::nullopt;
    }
    HostStatus status;
    status.ready = value["ready"].asBool();
    status.stopping = boolMember(value, "stopping", false);
    status.logReachable = boolMember(value, "log_reachable", false);
    status.logPosition = unsignedMember(value, "log_position").value_or(0);
    status.openRequests = unsignedMember(value, "open_requests").value_or(0);
    status.hosts = rowsFromJson(value["peers"], peerFromJson);
    EntryRow self;
    self.name = stringMember(value, "name").value_or("");
    self.zone = stringMember(value, "zone").value_or("");
    self.state = "this host";
    status.hosts.insert(status.hosts.begin(), std::move(self));
    status.upstreams = rowsFromJson(value["upstreams"], upstreamFromJson);
    status.workspaces = rowsFromJson(value["templates"], workspaceFromJson);
    return status;
}

std::string statusText(const HostStatus &status)
{
    const std::string readiness = status.stopping ? "stopping" : (status.ready ? "ready" : "not ready");
    std::string text = readiness + ", open requests " + std::to_string(status.openRequests) + ", log " + (status.logReachable ? "reachable" : "out")
        + ", read up to offset " + std::to_string(status.logPosition) + "\n";
    for (const std::string &zone : zonesOf(status)) {
        text += zoneText(status, zone);
    }
    for (const WorkspaceRow &workspace : status.workspaces) {
        text += "workspace " + workspace.name + " revision " + std::to_string(workspace.revision) + " by " + workspace.author + "\n";
    }
    return text;
}

}
