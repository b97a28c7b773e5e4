#include "gateway/internal/dutyrunner.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Interval at which the lease and the duties are checked.
constexpr std::chrono::milliseconds RunInterval{200};
/// Timeout of a call to the platform log.
constexpr std::chrono::milliseconds LogCallTimeout{700};
/// Timeout of a call that only the duty holder may make; shorter than the time for which a holder may act after a renewal.
constexpr std::chrono::milliseconds DutyCallTimeout{1'500};
/// The final counts of a usage window have come from all reachable hosts after this number of intervals between statuses.
constexpr int UsageGossipIntervals = 3;
/// Part of the usage report delay after which a window is reported even though the counts of a silent host may be missing.
constexpr double SilentPeerWaitPart = 0.6;
/// Maximum number of windows whose final counts the lease record keeps.
constexpr std::size_t MaxDecidedWindows = 4;
/// Interval at which the numbers of replicas are planned.
constexpr std::chrono::milliseconds ScalingInterval{1'000};

}

DutyRunner::DutyRunner(GatewayContext &context, GossipEndpoint &gossip, duties::UsageCollector &usageCollector)
    : m_context(context)
    , m_gossip(gossip)
    , m_usageCollector(usageCollector)
    , m_lease(context.settings.name, context.startId, context.settings.leaseDuration, context.settings.firstStart)
    , m_firstWindow(context.usageLedger.windowAt(context.wallClock.sinceEpoch(hostNow())))
{
}

bool DutyRunner::holds() const
{
    return m_lease.holds(hostNow());
}

net::awaitable<void> DutyRunner::run()
{
    while (true) {
        for (const auto &[window, counts] : m_context.usageLedger.windows()) {
            m_usageCollector.note(m_context.settings.name + "/" + m_context.startId, window, counts);
        }
        if (m_context.stop.begun()) {
            co_await releaseLease();
        } else {
            co_await claimOrRenewLease();
        }
        updateHolding();
        m_gossip.setHoldsDuties(holds());
        if (holds()) {
            co_await reportUsage();
        }
        co_await scaleServices();
        co_await pause(RunInterval);
    }
}

net::awaitable<void> DutyRunner::claimOrRenewLease()
{
    const TimePoint now = hostNow();
    if (m_context.logEra.current() > m_lease.end().era) {
        m_lease.requireRead();
    }
    if (m_lease.needsRead(now, m_gossip.peerHoldsDuties(now))) {
        co_await readRecord();
    }
    if (m_gossip.peerHoldsDuties(hostNow())) {
        co_return;
    }
    const TimePoint startedAt = hostNow();
    const std::uint64_t currentWindow = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(startedAt));
    const std::optional<duties::DutyRecord> next = m_lease.proposal(startedAt, decidedWindows(startedAt), currentWindow);
    if (!next) {
        co_return;
    }
    co_await appendRecord(*next, startedAt);
}

net::awaitable<void> DutyRunner::releaseLease()
{
    const TimePoint now = hostNow();
    const std::optional<duties::DutyRecord> last = m_lease.release(now);
    if (last) {
        co_await appendRecord(*last, now);
    }
}

net::awaitable<void> DutyRunner::appendRecord(const duties::DutyRecord &next, TimePoint startedAt)
{
    ports::Record record;
    record.key = "holder";
    record.value = encoded(next);
    ports::LogFailure failure;
    const std::optional<ports::AppendResult> result
        = co_await m_context.ports.platformLog->append(ports::Topic::Duties, std::move(record), m_lease.end().offset, LogCallTimeout, failure);
    if (result && result->outcome == ports::AppendOutcome::Appended) {
        m_lease.noteAppended(next, startedAt, result->era);
        co_return;
    }
    m_lease.requireRead();
    m_context.eventLog.write(
        "lease_not_written",
        eventlog::Importance::StateChange,
        {{"fence", static_cast<std::int64_t>(next.fence)}, {"reason", result ? std::string_view("conflict") : std::string_view(failure.detail)}});
}

net::awaitable<void> DutyRunner::readRecord()
{
    const TimePoint startedAt = hostNow();
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::Duties, LogCallTimeout, failure);
    if (!newest) {
        co_return;
    }
    std::optional<duties::DutyRecord> record;
    for (const ports::Record &found : newest->records) {
        std::string reason;
        record = found.value ? duties::decodedDutyRecord(*found.value, reason) : std::nullopt;
        if (!record) {
            m_context.eventLog.write("lease_unreadable", eventlog::Importance::StateChange, {{"reason", reason}});
        }
    }
    m_lease.observe(std::move(record), newest->end, startedAt);
}

void DutyRunner::updateHolding()
{
    const bool holding = holds();
    if (holding == m_wasHolding) {
        return;
    }
    m_wasHolding = holding;
    m_context.metrics.set("rosemaryshift_holds_duties", "", holding ? 1 : 0);
    m_context.eventLog.write(
        holding ? "duties_taken" : "duties_lost", eventlog::Importance::StateChange, {{"fence", static_cast<std::int64_t>(m_lease.fence())}});
    if (holding) {
        // With an unchanged fencing token this host only failed to renew in time: no other host has held the duties since.
        if (m_lease.fence() != m_lastFencingToken) {
            m_planner.takeOver(hostNow());
        }
        m_lastFencingToken = m_lease.fence();
        m_reportedWindows.clear();
    }
}

std::vector<ports::UsageReport> DutyRunner::decidedWindows(TimePoint now)
{
    std::vector<ports::UsageReport> windows = m_lease.record() ? m_lease.record()->decided : std::vector<ports::UsageReport>();
    if (!holds()) {
        return windows;
    }
    const std::uint64_t current = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(now));
    // Windows up to the last decided one, those that a holder with lost records may have reported, and those that are overdue, are skipped.
    std::uint64_t next = std::max(windows.empty() ? m_firstWindow : windows.back().window + 1, m_lease.record()->firstWindow);
    while (next < current && m_context.wallClock.sinceEpoch(now) > m_context.usageLedger.endOf(next) + m_context.settings.usageReportDelay) {
        ++next;
    }
    for (; next < current && isComplete(next, now); ++next) {
        windows.push_back({next, m_usageCollector.total(next)});
    }
    if (windows.size() > MaxDecidedWindows) {
        windows.erase(windows.begin(), windows.end() - MaxDecidedWindows);
    }
    return windows;
}

bool DutyRunner::isComplete(std::uint64_t window, TimePoint now) const
{
    const Duration sinceEnd = m_context.wallClock.sinceEpoch(now) - m_context.usageLedger.endOf(window);
    const Duration gossipDelay = gossip::statusInterval(m_gossip.registry().peers().size()) * UsageGossipIntervals;
    if (sinceEnd < std::min(gossipDelay, std::chrono::duration_cast<Duration>(m_context.settings.usageReportDelay * SilentPeerWaitPart))) {
        return false;
    }
    return !m_gossip.registry().anySilent() || sinceEnd > std::chrono::duration_cast<Duration>(m_context.settings.usageReportDelay * SilentPeerWaitPart);
}

net::awaitable<void> DutyRunner::reportUsage()
{
    if (!m_lease.record()) {
        co_return;
    }
    const std::vector<ports::UsageReport> windows = m_lease.record()->decided;
    for (const ports::UsageReport &report : windows) {
        const Duration overdue = m_context.wallClock.sinceEpoch(hostNow()) - m_context.usageLedger.endOf(report.window) - m_context.settings.usageReportDelay;
        if (m_reportedWindows.contains(report.window) || overdue > Duration::zero() || !holds()) {
            continue;
        }
        std::string reason;
        const ports::DutyHolder holder = dutyHolder();
        const ports::DutyOutcome outcome = co_await m_context.ports.dutyClient->reportUsage(report, holder, DutyCallTimeout, reason);
        if (outcome == ports::DutyOutcome::Done) {
            m_reportedWindows.insert(report.window);
        }
        m_context.eventLog.write("usage_reported",
                                 eventlog::Importance::StateChange,
                                 {{"window", static_cast<std::int64_t>(report.window)}, {"done", outcome == ports::DutyOutcome::Done}, {"reason", reason}});
    }
}

net::awaitable<void> DutyRunner::scaleServices()
{
    const TimePoint now = hostNow();
    const std::shared_ptr<const routing::RouteTable> table = m_context.configuration.table();
    if (!table || (m_plannedAt && now - *m_plannedAt < ScalingInterval)) {
        co_return;
    }
    m_plannedAt = now;
    const std::map<std::string, double> busy = m_gossip.totalBusyUpstreams(now);
    for (const routing::Service &service : table->configuration().services) {
        const duties::ServiceLoad load = serviceLoad(service, busy);
        m_planner.observe(service, load, now);
        if (!holds()) {
            continue;
        }
        for (const ports::ScalingTarget &target : m_planner.plan(service, load, now)) {
            if (!holds()) {
                break;
            }
            std::string reason;
            const ports::DutyHolder holder = dutyHolder();
            const ports::DutyOutcome outcome = co_await m_context.ports.dutyClient->scaleUpstreams(target, holder, DutyCallTimeout, reason);
            if (outcome == ports::DutyOutcome::Unavailable) {
                m_planner.noteUnavailable(target, hostNow());
            }
            m_context.eventLog.write("upstreams_ordered",
                                     eventlog::Importance::StateChange,
                                     {{"service", target.service},
                                      {"zone", target.zone},
                                      {"reclaimable", target.reclaimable},
                                      {"replicas", static_cast<std::int64_t>(target.replicas)},
                                      {"busy", load.busyUpstreams},
                                      {"done", outcome == ports::DutyOutcome::Done},
                                      {"reason", reason}});
        }
    }
}

duties::ServiceLoad DutyRunner::serviceLoad(const routing::Service &service, const std::map<std::string, double> &busy) const
{
    duties::ServiceLoad load;
    for (const auto &[instance, upstream] : m_context.directory.all()) {
        if (upstream.entry.service != service.name) {
            continue;
        }
        duties::ZoneReplicas &replicas = load.zones[upstream.entry.zone];
        if (!upstream.leaving) {
            ++(upstream.entry.reclaimable ? replicas.reclaimable : replicas.permanent);
        }
    }
    if (service.scaling) {
        for (const auto &[zone, price] : service.scaling->zonePrices) {
            load.zones[zone];
        }
    }
    const auto found = busy.find(service.name);
    load.busyUpstreams = found == busy.end() ? 0 : found->second;
    load.measured = load.busyUpstreams > 0;
    return load;
}

ports::DutyHolder DutyRunner::dutyHolder() const
{
    return {m_context.settings.name, m_lease.fence()};
}

}
