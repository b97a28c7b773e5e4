#include "measure/internal/emulator.h"

#include "measure/emulation.h"

#include <algorithm>

namespace rosemaryshift::measure {

using decisions::AttemptOutcome;

namespace {

constexpr Duration RunLength = std::chrono::seconds(130);
/// Requests that arrive from WindowBegin until WindowEnd are measured.
constexpr TimePoint WindowBegin{std::chrono::seconds(40)};
constexpr TimePoint WindowEnd{std::chrono::seconds(120)};
/// One-way delay between callers and entry hosts.
constexpr Duration ClientDelay = std::chrono::milliseconds(3);
/// One-way delay within an availability zone.
constexpr Duration InZoneDelay = std::chrono::microseconds(200);
constexpr double SecondsPerHour = 3'600;
constexpr TargetId ModelTarget{0};
constexpr TargetId ServiceTarget{1};

}

Emulator::Emulator(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed)
    : m_scenario(scenario)
    , m_experiment(experiment)
    , m_reportLag(experiment.reportLag > Duration(0) ? experiment.reportLag : scenario.reportLag)
{
    std::mt19937_64 random(seed);
    m_arrivals = makeArrivals(scenario, experiment, RunLength, random);
    m_results.resize(m_arrivals.size());
    m_progress.resize(m_arrivals.size());
    buildFleet(policy, seed);
    planFaults(random);
    if (!m_arrivals.empty()) {
        schedule(m_arrivals.front().at, RequestArrival{0});
    }
}

void Emulator::buildFleet(const NamedPolicy &policy, std::uint64_t seed)
{
    for (std::uint32_t zone = 0; zone < m_scenario.zones; ++zone) {
        for (const UpstreamGroup &group : m_scenario.upstreams) {
            for (std::uint32_t i = 0; i < group.perZone; ++i) {
                m_upstreams.push_back({&group, zone, FakeUpstream(group), 0, true});
                schedule(TimePoint(m_scenario.reportEvery * m_upstreams.size() / 32), ReportDue{m_upstreams.size() - 1});
            }
        }
    }
    for (std::uint32_t host = 0; host < m_scenario.entryHosts; ++host) {
        m_hosts.push_back({host % m_scenario.zones, decisions::makeDecisionCore(policy.settings, seed * m_scenario.entryHosts + host), {}});
        for (std::size_t upstream = 0; upstream < m_upstreams.size(); ++upstream) {
            m_hosts.back().core->post(listing(upstream, host));
        }
        m_hosts.back().core->post(decisions::EntryHostCountChanged{m_scenario.entryHosts});
        for (std::uint32_t i = 0; i < m_scenario.workspaces.size(); ++i) {
            const WorkspaceLoad &load = m_scenario.workspaces[i];
            m_hosts.back().core->post(decisions::WorkspaceLimitsChanged{
                static_cast<WorkspaceId>(i), load.maxInFlight / m_scenario.entryHosts, load.maxQueued / m_scenario.entryHosts});
        }
        tick(host);
    }
}

decisions::UpstreamListed Emulator::listing(std::size_t upstream, std::uint32_t host) const
{
    const Upstream &row = m_upstreams[upstream];
    decisions::UpstreamListed listed{};
    listed.upstream = static_cast<UpstreamId>(upstream);
    listed.zone = static_cast<ZoneId>(row.zone);
    listed.sameZone = row.zone == m_hosts[host].zone;
    listed.targets = {row.group->service ? ServiceTarget : ModelTarget};
    listed.slots = row.group->slots;
    listed.price = row.group->price;
    return listed;
}

Duration Emulator::delay(std::uint32_t host, std::size_t upstream) const
{
    return m_hosts[host].zone == m_upstreams[upstream].zone ? InZoneDelay : m_scenario.zoneDelay;
}

void Emulator::schedule(TimePoint at, SimulationEvent event)
{
    m_queue.push({at, m_order++, std::move(event)});
}

RunResult Emulator::run()
{
    const TimePoint end(RunLength + std::chrono::minutes(10));
    while (!m_queue.empty() && m_queue.top().at < end) {
        const ScheduledEvent next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        std::visit([this](const auto &typed) { handle(typed); }, next.event);
    }
    return result();
}

void Emulator::handle(const RequestArrival &requestArrival)
{
    const Arrival &arrival = m_arrivals[requestArrival.index];
    RequestResult &result = m_results[requestArrival.index];
    result.trafficClass = arrival.load->trafficClass;
    result.workspace = arrival.workspace;
    result.arrivedAt = m_now;
    decisions::RequestArrived event{};
    event.request = static_cast<RequestId>(requestArrival.index);
    event.workspace = static_cast<WorkspaceId>(arrival.workspace);
    event.trafficClass = arrival.load->trafficClass;
    event.target = arrival.load->service() ? ServiceTarget : ModelTarget;
    event.deadline = m_now + arrival.load->deadline;
    if (arrival.load->firstToken > Duration(0)) {
        event.firstTokenDeadline = m_now + arrival.load->firstToken;
    }
    event.promptTokens = arrival.load->promptTokens;
    event.prefixHash = arrival.prefixHash;
    event.idempotent = arrival.load->idempotent;
    schedule(m_now + ClientDelay, HostEventArrival{arrival.host, event});
    if (requestArrival.index + 1 < m_arrivals.size()) {
        schedule(m_arrivals[requestArrival.index + 1].at, RequestArrival{requestArrival.index + 1});
    }
}

void Emulator::handle(const JobArrival &arrival)
{
    Upstream &upstream = m_upstreams[arrival.upstream];
    if (!upstream.live) {
        sendEnd(arrival.upstream, arrival.job.key, AttemptOutcome::NotOffered);
        return;
    }
    const std::size_t request = m_placements.at(arrival.job.key).request;
    Progress &progress = m_progress[request];
    if (progress.offered && !m_arrivals[request].load->idempotent) {
        ++m_totals.repeatedCalls;
    }
    progress.offered = true;
    const std::uint32_t uncachedTokens = upstream.fake.begin(arrival.job, m_now);
    if (progress.attempts > 1) {
        m_totals.recomputedTokens += uncachedTokens;
    }
    scheduleOutput(arrival.upstream);
}

void Emulator::handle(const CancelArrival &arrival)
{
    if (m_upstreams[arrival.upstream].fake.cancel(arrival.key, m_now)) {
        sendEnd(arrival.upstream, arrival.key, AttemptOutcome::Cancelled);
        scheduleOutput(arrival.upstream);
    }
}

void Emulator::scheduleOutput(std::size_t upstream)
{
    const std::uint64_t epoch = ++m_upstreams[upstream].epoch;
    const std::optional<TimePoint> at = m_upstreams[upstream].fake.nextOutput();
    if (at) {
        schedule(std::max(*at, m_now), OutputDue{upstream, epoch});
    }
}

void Emulator::handle(const OutputDue &due)
{
    if (m_upstreams[due.upstream].epoch != due.epoch) {
        return;
    }
    for (const JobOutput &output : m_upstreams[due.upstream].fake.advance(m_now)) {
        const TimePoint at = m_now + delay(output.key.host, due.upstream);
        schedule(at, HostEventArrival{output.key.host, decisions::AttemptProgressed{output.key.attempt, output.tokens}});
        if (output.ended) {
            sendEnd(due.upstream, output.key, AttemptOutcome::Completed);
        }
    }
    scheduleOutput(due.upstream);
}

void Emulator::sendEnd(std::size_t upstream, AttemptKey key, AttemptOutcome outcome)
{
    schedule(m_now + delay(key.host, upstream), HostEventArrival{key.host, decisions::AttemptEnded{key.attempt, outcome}});
}

void Emulator::handle(const HostEventArrival &arrival)
{
    if (const decisions::AttemptProgressed *const progressed = std::get_if<decisions::AttemptProgressed>(&arrival.event)) {
        const std::size_t request = m_placements.at({arrival.host, progressed->attempt}).request;
        m_progress[request].tokens += progressed->tokens;
        RequestResult &result = m_results[request];
        if (!result.firstTokenAt && !result.endedAt) {
            result.firstTokenAt = m_now + ClientDelay;
        }
    }
    m_hosts[arrival.host].core->post(arrival.event);
    tick(arrival.host);
}

void Emulator::handle(const HostWakeup &wakeup)
{
    if (m_hosts[wakeup.host].wakesAt == m_now) {
        m_hosts[wakeup.host].wakesAt.reset();
        tick(wakeup.host);
    }
}

void Emulator::handle(const ReportDue &due)
{
    const Upstream &upstream = m_upstreams[due.upstream];
    if (upstream.live) {
        decisions::UpstreamReported report{static_cast<UpstreamId>(due.upstream), upstream.fake.running(), upstream.fake.queued(), m_now};
        broadcast(report, m_reportLag);
    }
    if (m_now < TimePoint(RunLength) + std::chrono::minutes(5)) {
        schedule(m_now + m_scenario.reportEvery, ReportDue{due.upstream});
    }
}

void Emulator::broadcast(const decisions::Event &event, Duration delay)
{
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        schedule(m_now + delay, HostEventArrival{host, event});
    }
}

void Emulator::tick(std::uint32_t host)
{
    Host &row = m_hosts[host];
    for (const decisions::Action &action : row.core->tick(m_now)) {
        std::visit([this, host](const auto &typed) { perform(host, typed); }, action);
    }
    const std::optional<TimePoint> wake = row.core->nextWake();
    if (wake && (!row.wakesAt || *wake < *row.wakesAt)) {
        row.wakesAt = std::max(*wake, m_now);
        schedule(*row.wakesAt, HostWakeup{host});
    }
}

void Emulator::perform(std::uint32_t host, const decisions::StartAttempt &action)
{
    const std::size_t request = static_cast<std::size_t>(action.request);
    const Arrival &arrival = m_arrivals[request];
    const std::size_t upstream = static_cast<std::size_t>(action.upstream);
    const AttemptKey key{host, action.attempt};
    m_placements[key] = {request, upstream};
    Progress &progress = m_progress[request];
    ++m_totals.attempts;
    m_totals.firstAttempts += progress.attempts == 0 ? 1 : 0;
    ++progress.attempts;
    Job job;
    job.key = key;
    job.priority = arrival.load->trafficClass == TrafficClass::Plan ? 1 : 0;
    job.promptTokens = arrival.load->promptTokens;
    job.prefixTokens = arrival.load->prefixTokens;
    job.prefixHash = arrival.prefixHash;
    job.tokensDone = std::min(progress.tokens, arrival.tokens - 1);
    job.tokens = arrival.tokens - job.tokensDone;
    schedule(m_now + delay(host, upstream), JobArrival{upstream, job});
}

void Emulator::perform(std::uint32_t host, const decisions::CancelAttempt &action)
{
    const AttemptKey key{host, action.attempt};
    const std::size_t upstream = m_placements.at(key).upstream;
    schedule(m_now + delay(host, upstream) + Duration(1), CancelArrival{upstream, key});
}

void Emulator::perform(std::uint32_t, const decisions::RefuseRequest &action)
{
    recordEnd(static_cast<std::size_t>(action.request), false);
}

void Emulator::perform(std::uint32_t, const decisions::QueueRequest &)
{
}

void Emulator::perform(std::uint32_t, const decisions::CompleteRequest &action)
{
    recordEnd(static_cast<std::size_t>(action.request), true);
}

void Emulator::recordEnd(std::size_t request, bool completed)
{
    RequestResult &result = m_results[request];
    const ClassLoad &load = *m_arrivals[request].load;
    ++m_progress[request].ends;
    result.endedAt = m_now + ClientDelay;
    result.completed = completed;
    result.refused = !completed;
    const bool firstInTime = load.firstToken == Duration(0) || (result.firstTokenAt && *result.firstTokenAt - result.arrivedAt <= load.firstToken);
    result.metTarget = completed && firstInTime && *result.endedAt - result.arrivedAt <= load.deadline;
}

RunResult Emulator::result()
{
    m_totals.windowSeconds = std::chrono::duration<double>(WindowEnd - WindowBegin).count();
    for (const Upstream &upstream : m_upstreams) {
        m_totals.fleetCost += upstream.group->price * m_totals.windowSeconds / SecondsPerHour;
    }
    for (std::size_t i = 0; i < m_results.size(); ++i) {
        m_totals.unanswered += m_progress[i].ends == 1 ? 0 : 1;
        if (m_results[i].arrivedAt >= WindowBegin && m_results[i].arrivedAt < WindowEnd) {
            m_totals.requests.push_back(m_results[i]);
        }
    }
    return std::move(m_totals);
}

RunResult emulate(const Scenario &scenario, const NamedPolicy &policy, const Experiment &experiment, std::uint64_t seed)
{
    return Emulator(scenario, policy, experiment, seed).run();
}

}
