#pragma once

#include "measure/internal/fakeupstream.h"
#include "measure/internal/workload.h"

#include <queue>
#include <unordered_map>
#include <variant>

namespace rosemaryshift::measure {

/// One run: entry hosts, upstreams and the events between them, in virtual time. Not thread-safe.
class Emulator
{
public:
    Emulator(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed);

    RunResult run();

private:
    struct Arrives {
        std::size_t index = 0;
    };
    struct JobArrives {
        std::size_t upstream = 0;
        Job job;
    };
    struct CancelArrives {
        std::size_t upstream = 0;
        AttemptKey key;
    };
    struct OutputDue {
        std::size_t upstream = 0;
        std::uint64_t epoch = 0;
    };
    struct ReachesHost {
        std::uint32_t host = 0;
        decisions::Event event;
    };
    struct HostWakes {
        std::uint32_t host = 0;
    };
    struct ReportDue {
        std::size_t upstream = 0;
    };
    struct SpeedChanges {
        std::size_t upstream = 0;
        double slowness = 1;
    };
    struct NoticeGiven {
        std::size_t upstream = 0;
        TimePoint goneAt;
    };
    struct UpstreamEnds {
        std::size_t upstream = 0;
        bool listed = true; ///< The list of hosts shows it.
    };
    struct UpstreamStarts {
        std::size_t upstream = 0;
    };
    using Happening = std::
        variant<Arrives, JobArrives, CancelArrives, OutputDue, ReachesHost, HostWakes, ReportDue, SpeedChanges, NoticeGiven, UpstreamEnds, UpstreamStarts>;
    struct Timed {
        TimePoint at;
        std::uint64_t order = 0;
        Happening happening;

        bool operator<(const Timed &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Upstream {
        const UpstreamGroup *group = nullptr;
        std::uint32_t zone = 0;
        FakeUpstream fake;
        std::uint64_t epoch = 0;
        bool live = true;
    };
    struct Host {
        std::uint32_t zone = 0;
        std::unique_ptr<decisions::IDecisionCore> core;
        std::optional<TimePoint> wakesAt;
    };
    struct Progress {
        std::uint32_t tokens = 0;
        std::uint32_t attempts = 0;
        std::uint32_t ends = 0;
        bool offered = false;
    };
    struct Placement {
        std::size_t request = 0;
        std::size_t upstream = 0;
    };

    void buildFleet(const NamedPolicy &policy, std::uint64_t seed);
    void planFaults(std::mt19937_64 &random);
    void schedule(TimePoint at, Happening happening);
    void happen(const Arrives &arrives);
    void happen(const JobArrives &arrives);
    void happen(const CancelArrives &arrives);
    void happen(const OutputDue &due);
    void happen(const ReachesHost &reaches);
    void happen(const HostWakes &wakes);
    void happen(const ReportDue &due);
    void happen(const SpeedChanges &changes);
    void happen(const NoticeGiven &notice);
    void happen(const UpstreamEnds &ends);
    void happen(const UpstreamStarts &starts);
    void tick(std::uint32_t host);
    void perform(std::uint32_t host, const decisions::StartAttempt &action);
    void perform(std::uint32_t host, const decisions::CancelAttempt &action);
    void perform(std::uint32_t host, const decisions::RefuseRequest &action);
    void perform(std::uint32_t host, const decisions::QueueRequest &action);
    void perform(std::uint32_t host, const decisions::CompleteRequest &action);
    void noteEnd(std::size_t request, bool completed);
    void scheduleOutput(std::size_t upstream);
    void tellAll(const decisions::Event &event, Duration delay);
    void sendEnd(std::size_t upstream, AttemptKey key, decisions::AttemptOutcome outcome);
    [[nodiscard]] decisions::UpstreamListed listing(std::size_t upstream, std::uint32_t host) const;
    [[nodiscard]] Duration delay(std::uint32_t host, std::size_t upstream) const;
    RunResult result();

    const Scenario &m_scenario;
    const Experiment &m_experiment;
    const Duration m_reportLag;
    TimePoint m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Timed> m_queue;
    std::vector<Arrival> m_arrivals;
    std::vector<RequestResult> m_results;
    std::vector<Progress> m_progress;
    std::vector<Upstream> m_upstreams;
    std::vector<Host> m_hosts;
    std::map<AttemptKey, Placement> m_placements;
    RunResult m_totals;
};

}
