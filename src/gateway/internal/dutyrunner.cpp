#include "gateway/internal/dutyrunner.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickInterval{200};
constexpr std::chrono::milliseconds LogTimeout{700};
/// Longest wait for the platform's answer to a duty's call; shorter than the time in which a holder may act.
constexpr std::chrono::milliseconds DutyTimeout{1'500};
/// The last news of a window comes this long after its end.
constexpr std::chrono::milliseconds NewsDelay{1'200};
/// Part of the time until a window is due after which it is reported though a host is silent.
constexpr double LatestPart = 0.6;
/// Windows whose decided counts are kept in the record.
constexpr std::size_t KeptWindows = 4;
/// How often upstreams are planned.
constexpr std::chrono::milliseconds PlanInterval{1'000};

}

DutyRunner::DutyRunner(GatewayContext &context, GossipEndpoint &gossip, duties::UsageCollector &usage)
    : m_context(context)
    , m_gossip(gossip)
    , m_usage(usage)
    , m_lease(context.settings.name, context.startId, context.settings.leaseDuration)
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
            m_usage.note(m_context.settings.name + "/" + m_context.startId, window, counts);
        }
        if (m_context.stopping) {
            co_await release();
        } else {
            co_await keepLease();
        }
        noteHolding();
        m_gossip.setHoldsDuties(holds());
        if (holds()) {
            co_await reportUsage();
        }
        co_await planUpstreams();
        co_await pause(TickInterval);
    }
}

net::awaitable<void> DutyRunner::keepLease()
{
    const TimePoint now = hostNow();
    if (m_lease.needsRead(now, m_gossip.holderHeard(now))) {
        co_await readRecord();
    }
    if (m_gossip.holderHeard(hostNow())) {
        co_return;
    }
    const TimePoint began = hostNow();
    const std::optional<duties::DutyRecord> next = m_lease.proposal(began, decided(began));
    if (!next) {
        co_return;
    }
    co_await append(*next, began);
}

net::awaitable<void> DutyRunner::release()
{
    const TimePoint now = hostNow();
    const std::optional<duties::DutyRecord> last = m_lease.release(now);
    if (last) {
        co_await append(*last, now);
    }
}

net::awaitable<void> DutyRunner::append(const duties::DutyRecord &next, TimePoint began)
{
    ports::Record record;
    record.key = "holder";
    record.value = encoded(next);
    ports::LogFailure failure;
    const std::optional<ports::AppendOutcome> outcome
        = co_await m_context.ports.platformLog->append(ports::Topic::Duties, std::move(record), m_lease.end(), LogTimeout, failure);
    if (outcome == ports::AppendOutcome::Appended) {
        m_lease.appended(next, began);
        co_return;
    }
    m_lease.mustRead();
    m_context.eventLog.write(
        "lease_not_written",
        eventlog::Importance::Belief,
        {{"fence", static_cast<std::int64_t>(next.fence)}, {"reason", outcome ? std::string_view("conflict") : std::string_view(failure.detail)}});
}

net::awaitable<void> DutyRunner::readRecord()
{
    const TimePoint began = hostNow();
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::Duties, LogTimeout, failure);
    if (!newest) {
        co_return;
    }
    std::optional<duties::DutyRecord> record;
    for (const ports::Record &found : newest->records) {
        std::string reason;
        record = found.value ? duties::decodedDutyRecord(*found.value, reason) : std::nullopt;
        if (!record) {
            m_context.eventLog.write("lease_unreadable", eventlog::Importance::Belief, {{"reason", reason}});
        }
    }
    m_lease.observe(std::move(record), newest->endOffset, began);
}

void DutyRunner::noteHolding()
{
    const bool holding = holds();
    if (holding == m_holding) {
        return;
    }
    m_holding = holding;
    m_context.metrics.set("rosemaryshift_holds_duties", "", holding ? 1 : 0);
    m_context.eventLog.write(holding ? "duties_taken" : "duties_lost", eventlog::Importance::Belief, {{"fence", static_cast<std::int64_t>(m_lease.fence())}});
    if (holding) {
        // A host that only could not renew has its fence still, and nobody has held the duties since.
        if (m_lease.fence() != m_lastFence) {
            m_planner.takeOver(hostNow());
        }
        m_lastFence = m_lease.fence();
        m_reported.clear();
    }
}

std::vector<ports::UsageReport> DutyRunner::decided(TimePoint now)
{
    std::vector<ports::UsageReport> windows = m_lease.record() ? m_lease.record()->decided : std::vector<ports::UsageReport>();
    if (!holds()) {
        return windows;
    }
    const std::uint64_t current = m_context.usageLedger.windowAt(m_context.wallClock.sinceEpoch(now));
    // Windows that are over before the last decided one, or are overdue, are not decided any more.
    std::uint64_t next = windows.empty() ? m_firstWindow : windows.back().window + 1;
    while (next < current && m_context.wallClock.sinceEpoch(now) > m_context.usageLedger.endOf(next) + m_context.settings.usageReportDelay) {
        ++next;
    }
    for (; next < current && complete(next, now); ++next) {
        windows.push_back({next, m_usage.total(next)});
    }
    if (windows.size() > KeptWindows) {
        windows.erase(windows.begin(), windows.end() - KeptWindows);
    }
    m_usage.dropBefore(windows.empty() ? 0 : windows.front().window);
    return windows;
}

bool DutyRunner::complete(std::uint64_t window, TimePoint now) const
{
    const Duration over = m_context.wallClock.sinceEpoch(now) - m_context.usageLedger.endOf(window);
    if (over < NewsDelay) {
        return false;
    }
    return !m_gossip.board().anySilent() || over > std::chrono::duration_cast<Duration>(m_context.settings.usageReportDelay * LatestPart);
}

net::awaitable<void> DutyRunner::reportUsage()
{
    if (!m_lease.record()) {
        co_return;
    }
    const std::vector<ports::UsageReport> windows = m_lease.record()->decided;
    for (const ports::UsageReport &report : windows) {
        const Duration overdue = m_context.wallClock.sinceEpoch(hostNow()) - m_context.usageLedger.endOf(report.window) - m_context.settings.usageReportDelay;
        if (m_reported.contains(report.window) || overdue > Duration::zero() || !holds()) {
            continue;
        }
        std::string reason;
        const ports::DutyHolder holder = dutyHolder();
        const ports::DutyOutcome outcome = co_await m_context.ports.dutyClient->reportUsage(report, holder, DutyTimeout, reason);
        if (outcome == ports::DutyOutcome::Done) {
            m_reported.insert(report.window);
        }
        m_context.eventLog.write("usage_reported",
                                 eventlog::Importance::Belief,
                                 {{"window", static_cast<std::int64_t>(report.window)}, {"done", outcome == ports::DutyOutcome::Done}, {"reason", reason}});
    }
}

net::awaitable<void> DutyRunner::planUpstreams()
{
    const TimePoint now = hostNow();
    const std::shared_ptr<const routing::RouteTable> table = m_context.configuration.table();
    if (!table || (m_planned && now - *m_planned < PlanInterval)) {
        co_return;
    }
    m_planned = now;
    const std::map<std::string, double> busy = m_gossip.busyUpstreams(now);
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
            const ports::DutyOutcome outcome = co_await m_context.ports.dutyClient->scaleUpstreams(target, holder, DutyTimeout, reason);
            if (outcome == ports::DutyOutcome::Unavailable) {
                m_planner.noteUnavailable(target, hostNow());
            }
            m_context.eventLog.write("upstreams_ordered",
                                     eventlog::Importance::Belief,
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
    load.known = load.busyUpstreams > 0;
    return load;
}

ports::DutyHolder DutyRunner::dutyHolder() const
{
    return {m_context.settings.name, m_lease.fence()};
}

}
