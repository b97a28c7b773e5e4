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

/// How fast an upstream generates, as this host sees it. Fast to worsen, slow to recover.
struct SpeedEstimate {
    double secondsPerToken = 0; ///< Zero until something was seen.
    TimePoint seenAt;
};

struct UpstreamRow {
    UpstreamState state = UpstreamState::Unlisted;
    bool leaving = false; ///< Stays until the upstream is gone, whatever lists say.
    ZoneId zone{};
    bool sameZone = true;
    std::vector<TargetId> targets;
    std::uint32_t slots = 1;
    double price = 0;
    bool checksFencing = false;
    std::uint32_t inFlight = 0;      ///< Attempts of this host.
    std::uint32_t plansInFlight = 0; ///< The same, of plans.
    TimePoint goneAt;
    TimePoint reportedAt;
    std::uint32_t othersInFlight = 0;                           ///< Attempts of other hosts at the last report.
    std::deque<std::pair<TimePoint, std::uint32_t>> ownHistory; ///< inFlight after each change since the last report.
    SpeedEstimate speed;
    std::optional<double> indexed; ///< Key under which the targets list it.

    /// Attempts of all hosts, as far as this one can tell.
    [[nodiscard]] std::uint32_t occupied() const;
};

/// What has been seen of one traffic class at one target.
struct FlowRow {
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t waitingWorkspaces = 0; ///< That have a request queued here.
    double holdSeconds = 0;              ///< Mean time from the start of an attempt to its end; zero until one was seen.
    double tokens = 0;                   ///< Mean length of an answer; zero until one was seen.
    double firstTokenSeconds = 0;        ///< Mean time from the start of an attempt to its first token; zero until one was seen.
};

struct TargetRow {
    std::vector<UpstreamId> live;                           ///< Upstreams that take new work for this target.
    std::set<std::pair<double, UpstreamId>> byOccupancy;    ///< The same by the share of their slots in use.
    std::unordered_map<std::uint64_t, UpstreamId> prefixes; ///< Where a prefix was read last.
    std::deque<std::uint64_t> prefixOrder;                  ///< Keys of prefixes, the oldest first.
    std::uint32_t slots = 0;                                ///< Of all live upstreams.
    double secondsPerToken = 0;                             ///< Mean over the upstreams; zero until something was seen.
    std::array<FlowRow, TrafficClassCount> flows;
};

/// The requests of one workspace that wait for the same kind of slot.
struct QueueKey {
    TrafficClass trafficClass = TrafficClass::Question;
    TargetId target{};

    auto operator<=>(const QueueKey &) const = default;
};

struct WorkspaceRow {
    std::uint32_t maxInFlight = 0;
    std::uint32_t maxQueued = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::map<QueueKey, std::set<RequestId>> queues; ///< None is empty; ids grow with the arrival.
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
    std::uint32_t failures = 0; ///< Attempts that reached an upstream and failed.
    bool admitted = false;      ///< Counts against the workspace's limit in flight.
    RunState run = RunState::NotRun;
    std::set<UpstreamId> avoided; ///< Get another attempt only when no other upstream can take it.
    std::optional<AttemptId> running;
    std::optional<AttemptId> hedge; ///< A second attempt beside the running one.
    bool answering = false;         ///< Some attempt has given a token.
    TimePoint queuedAt;
    std::optional<TimePoint> startBy;      ///< An attempt that starts later than this comes too late.
    TimePoint timer;                       ///< When the request is looked at without an event.
    std::optional<UpstreamId> reconnectTo; ///< Where a new connection is tried before any other upstream.

    [[nodiscard]] QueueKey queueKey() const;
};

struct AttemptRow {
    RequestId request;
    UpstreamId upstream;
    QueueKey flow;
    TimePoint startedAt;
    std::uint64_t prefixHash = 0;
    std::uint32_t tokens = 0;
    std::optional<TimePoint> progressedAt;
    bool reconnect = false; ///< Tries the upstream of an attempt that fell silent again.
    bool moving = false;    ///< Cancelled, so that the request is resumed elsewhere.
};

struct EndedAttempt {
    AttemptId attempt;
    RequestId request;
    AttemptOutcome outcome;
    AttemptRow row;
};

/// All rows the systems run over. Plain data; owned by one thread.
struct Tables {
    std::vector<UpstreamRow> upstreams;   ///< Indexed by UpstreamId.
    std::vector<WorkspaceRow> workspaces; ///< Indexed by WorkspaceId.
    std::vector<TargetRow> targets;       ///< Indexed by TargetId.
    std::unordered_map<RequestId, RequestRow> requests;
    std::unordered_map<AttemptId, AttemptRow> attempts;
    std::set<std::pair<TimePoint, RequestId>> timers; ///< Of all requests.
    std::set<WorkspaceId> waiting;                    ///< Workspaces with a request queued.
    std::vector<RequestId> arrived;                   ///< Since the last tick.
    std::vector<EndedAttempt> ended;                  ///< Since the last tick.
    std::vector<RequestId> retrying;
    std::vector<RequestId> late;         ///< Running requests whose first token is late.
    std::vector<AttemptId> firstOutputs; ///< Attempts of hedged requests that gave a first token since the last tick.
    std::vector<RequestId> retryDue;     ///< Failed requests whose delay is over.
    std::uint64_t firstAttempts = 0;     ///< Started so far.
    std::uint64_t nextAttempt = 1;
    std::uint32_t entryHosts = 1; ///< That share the upstreams, this one included.
    bool stopping = false;

    /// Row of @p upstream, made when there is none yet.
    UpstreamRow &upstream(UpstreamId upstream);
    /// Row of @p workspace, made when there is none yet.
    WorkspaceRow &workspace(WorkspaceId workspace);
    /// Row of @p target, made when there is none yet.
    TargetRow &target(TargetId target);
    FlowRow &flow(QueueKey key);
    /// Row of @p request; null when it has ended.
    RequestRow *request(RequestId request);
    /// Row of @p attempt; null when it has ended.
    AttemptRow *attempt(AttemptId attempt);
    /// Moves @p upstream to its place in the indexes after a change of its state or load.
    void reindex(UpstreamId upstream);
    /// Has @p request looked at when @p at has come.
    void setTimer(RequestRow &request, TimePoint at);
    /// Puts an arrived request into its workspace's queue.
    void enqueue(RequestRow &request);
    /// Takes a queued request out of the queue and counts it as in flight.
    void admit(RequestRow &request);
    /// Removes the row of a request that has its final answer and gives back what it held.
    void erase(RequestId request);

private:
    void dequeue(const RequestRow &request);
};

}
