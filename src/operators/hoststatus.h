#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::operators {

/// A workspace and the revision that a host has in force.
struct RevisionRow {
    std::string workspace;
    std::uint64_t revision = 0;
};

/// An entry host as the one asked knows it.
struct EntryRow {
    std::string name;
    std::string zone;
    std::string state;                  ///< "this host", "seen" or "leaving".
    bool sameTemplates = true;          ///< As those of the host asked.
    std::vector<RevisionRow> revisions; ///< Of another host, when its templates differ.
    std::string lag;                    ///< Why its templates lag; empty when they do not.
};

/// An upstream as the host asked knows it.
struct UpstreamRow {
    std::string name;
    std::string zone;
    std::string address;
    std::string state; ///< "live" or "leaving".
};

/// A workspace and its template in force.
struct WorkspaceRow {
    std::string name;
    std::uint64_t revision = 0;
    std::string author;
};

/// What one host answers when asked for its state.
struct HostStatus {
    bool ready = false;
    bool stopping = false;
    bool logReachable = false;
    std::uint64_t logPosition = 0;
    std::uint64_t openRequests = 0;
    std::vector<EntryRow> hosts;
    std::vector<UpstreamRow> upstreams;
    std::vector<WorkspaceRow> workspaces;
};

/// Reads a host's answer; rows that are malformed are left out. Nothing when the whole is malformed. Thread-safe.
std::optional<HostStatus> statusFromJson(const Json::Value &value);
/// The state as lines of text: the host, each zone with its hosts and upstreams, the workspaces. Thread-safe.
std::string statusText(const HostStatus &status);

}
