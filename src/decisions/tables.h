#pragma once

#include "decisions/decisiontypes.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace rosemaryshift::decisions {

enum class UpstreamState : std::uint8_t {
    Unlisted,
    Live,
    Leaving,
    Gone,
};

struct UpstreamRow {
    UpstreamState state = UpstreamState::Unlisted;
    ZoneId zone{};
    bool sameZone = true;
    std::vector<TargetId> targets;
    std::uint32_t slots = 1;
    double price = 0;
    bool checksFencing = false;
    std::uint32_t inFlight = 0; ///< Attempts of this host.
    TimePoint goneAt;
    std::uint32_t reportedRunning = 0;
    std::uint32_t reportedQueued = 0;
    TimePoint reportedAt;
};

struct WorkspaceRow {
    std::uint32_t maxInFlight = 0;
    std::uint32_t maxQueued = 0;
    std::uint32_t inFlight = 0;
    std::deque<RequestId> queue;
};

enum class RequestState : std::uint8_t {
    Arrived,
    Queued,
    Running,
    Retrying, ///< An attempt failed; another may start.
};

struct RequestRow {
    RequestArrived spec;
    RequestState state = RequestState::Arrived;
    std::uint32_t tokens = 0;
    std::uint32_t attempts = 0;
    bool admitted = false; ///< Counts against the workspace's limit in flight.
    RunState run = RunState::NotRun;
    std::set<UpstreamId> failedAt;
    std::optional<AttemptId> running;
};

struct AttemptRow {
    RequestId request;
    UpstreamId upstream;
};

struct EndedAttempt {
    AttemptId attempt;
    RequestId request;
    AttemptOutcome outcome;
};

/// All rows the systems run over. Plain data; owned by one thread.
struct Tables {
    std::vector<UpstreamRow> upstreams;       ///< Indexed by UpstreamId.
    std::vector<WorkspaceRow> workspaces;     ///< Indexed by WorkspaceId.
    std::map<RequestId, RequestRow> requests; ///< Ordered, so that every run visits them alike.
    std::unordered_map<AttemptId, AttemptRow> attempts;
    std::vector<RequestId> arrived;  ///< Since the last tick.
    std::vector<EndedAttempt> ended; ///< Since the last tick.
    std::vector<RequestId> retrying;
    std::uint64_t nextAttempt = 1;
    bool stopping = false;

    /// Row of @p upstream, made when there is none yet.
    UpstreamRow &upstream(UpstreamId upstream);
    /// Row of @p workspace, made when there is none yet.
    WorkspaceRow &workspace(WorkspaceId workspace);
    /// Row of @p request; null when it has ended.
    RequestRow *request(RequestId request);
    /// Removes the row of a request that has its final answer and gives back what it held.
    void erase(RequestId request);
};

}
