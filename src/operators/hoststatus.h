#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::operators {

/// A workspace and the revision of its template that is in force on a host.
struct RevisionRow {
    std::string workspace;
    std::uint64_t revision = 0;
};

/// An entry host as known to the queried host.
struct EntryRow {
    std::string name;
    std::string zone;
    std::string state;                  ///< "this host" for the queried host itself, else "seen" or "leaving".
    bool sameTemplates = true;          ///< Whether its templates equal those of the queried host.
    std::vector<RevisionRow> revisions; ///< Template revisions of a peer, at the queried host's last pull from it; shown when sameTemplates is false.
    std::string lag;                    ///< Why its templates are behind; empty when they are not.
};

/// An upstream as known to the queried host.
struct UpstreamRow {
    std::string name;
    std::string zone;
    std::string address;
    std::string state; ///< "live" or "leaving".
};

/// A workspace, with revision and author of its template in force.
struct WorkspaceRow {
    std::string name;
    std::uint64_t revision = 0;
    std::string author;
};

/// State of one entry host, and the hosts, upstreams and workspaces that it knows.
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

/// Parses a host's status answer and skips malformed rows; nothing when @p value is not a status object. Thread-safe.
std::optional<HostStatus> statusFromJson(const Json::Value &value);
/// Formats the state as lines of text: the queried host, each zone with its hosts and upstreams, the workspaces. Thread-safe.
std::string statusText(const HostStatus &status);

}
