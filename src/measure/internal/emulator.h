#pragma once

#include "measure/internal/fakeupstream.h"
#include "measure/internal/workload.h"

#include <queue>
#include <unordered_map>
#include <variant>

namespace rosemaryshift::measure {

/// Discrete-event simulation of one run: entry hosts, upstreams and the messages between them, in virtual time. Not
/// thread-safe.
class Emulator
{
public:
    Emulator(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed);

    RunResult run();

private:
    struct RequestArrival {
        std::size_t index = 0;
    };
    struct JobArrival {
        std::size_t upstream = 0;
        Job job;
    };
    struct CancelArrival {
        std::size_t upstream = 0;
        AttemptKey key;
    };
    /// Ignored when the epoch differs from Upstream::epoch, since the output time has changed meanwhile.
    struct OutputDue {
        std::size_t upstream = 0;
        std::uint64_t epoch = 0;
    };
    struct HostEventArrival {
        std::uint32_t host = 0;
        decisions::Event event;
    };
    struct HostWakeup {
        std::uint32_t host = 0;
    };
    struct ReportDue {
        std::size_t upstream = 0;
    };
    struct SpeedChange {
        std::size_t upstream = 0;
        double slowdown = 1;
    };
    struct LeavingNotice {
        std::size_t upstream = 0;
        TimePoint goneAt;
    };
    struct UpstreamStop {
        std::size_t upstream = 0;
        bool announced = true; ///< Whether the entry hosts are told that the upstream is gone.
    };
    struct UpstreamStart {
        std::size_t upstream = 0;
    };
    using SimulationEvent = std::variant<RequestArrival,
                                         JobArrival,
                                         CancelArrival,
                                         OutputDue,
                                         HostEventArrival,
                                         HostWakeup,
                                         ReportDue,
                                         SpeedChange,
                                         LeavingNotice,
                                         UpstreamStop,
                                         UpstreamStart>;
    struct ScheduledEvent {
        TimePoint at;
        std::uint64_t order = 0; ///< Sequence number of the scheduling; orders events of the same time.
        SimulationEvent event;

        /// Reversed, so that std::priority_queue gives the earliest event first.
        bool operator<(const ScheduledEvent &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Upstream {
        const UpstreamGroup *group = nullptr;
        std::uint32_t zone = 0;
        FakeUpstream fake;
        std::uint64_t epoch = 0; ///< Incremented with each change of the output time, which makes earlier OutputDue events stale.
        bool live = true;
    };
    struct Host {
        std::uint32_t zone = 0;
        std::unique_ptr<decisions::IDecisionCore> core;
        std::optional<TimePoint> wakesAt;
    };
    /// State of one request over all its attempts.
    struct Progress {
        std::uint32_t tokens = 0;   ///< Received from all attempts.
        std::uint32_t attempts = 0; ///< Started.
        std::uint32_t ends = 0;     ///< Completions and refusals; each request must have exactly one.
        bool offered = false;       ///< Whether an attempt has reached a live upstream.
    };
    /// Request of an attempt and the upstream that the attempt was sent to.
    struct Placement {
        std::size_t request = 0;
        std::size_t upstream = 0;
    };

    void buildFleet(const NamedPolicy &policy, std::uint64_t seed);
    void planFaults(std::mt19937_64 &random);
    void schedule(TimePoint at, SimulationEvent event);
    void handle(const RequestArrival &requestArrival);
    void handle(const JobArrival &arrival);
    void handle(const CancelArrival &arrival);
    void handle(const OutputDue &due);
    void handle(const HostEventArrival &arrival);
    void handle(const HostWakeup &wakeup);
    void handle(const ReportDue &due);
    void handle(const SpeedChange &change);
    void handle(const LeavingNotice &notice);
    void handle(const UpstreamStop &stop);
    void handle(const UpstreamStart &start);
    void tick(std::uint32_t host);
    void perform(std::uint32_t host, const decisions::StartAttempt &action);
    void perform(std::uint32_t host, const decisions::CancelAttempt &action);
    void perform(std::uint32_t host, const decisions::RefuseRequest &action);
    void perform(std::uint32_t host, const decisions::QueueRequest &action);
    void perform(std::uint32_t host, const decisions::CompleteRequest &action);
    void recordEnd(std::size_t request, bool completed);
    void scheduleOutput(std::size_t upstream);
    void broadcast(const decisions::Event &event, Duration delay);
    void sendEnd(std::size_t upstream, AttemptKey key, decisions::AttemptOutcome outcome);
    [[nodiscard]] decisions::UpstreamListed listing(std::size_t upstream, std::uint32_t host) const;
    [[nodiscard]] Duration delay(std::uint32_t host, std::size_t upstream) const;
    RunResult result();

    const Scenario &m_scenario;
    const Experiment &m_experiment;
    const Duration m_reportLag;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledEvent> m_queue;
    std::vector<Arrival> m_arrivals;
    std::vector<RequestResult> m_results;
    std::vector<Progress> m_progress;
    std::vector<Upstream> m_upstreams;
    std::vector<Host> m_hosts;
    std::map<AttemptKey, Placement> m_placements;
    RunResult m_totals;
};

}
