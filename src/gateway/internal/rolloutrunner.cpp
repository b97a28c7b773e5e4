#include "gateway/internal/rolloutrunner.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Interval at which roll-outs are looked at, and the same while there are none.
constexpr std::chrono::milliseconds RunInterval{100};
constexpr std::chrono::milliseconds IdleInterval{250};
/// Timeout of a call to the platform log, and delay after one that failed.
constexpr std::chrono::milliseconds LogCallTimeout{700};
constexpr std::chrono::milliseconds RetryDelay{300};

}

RolloutRunner::RolloutRunner(GatewayContext &context, const DutyRunner &duties, GossipEndpoint &gossip)
    : m_context(context)
    , m_duties(duties)
    , m_gossip(gossip)
{
}

net::awaitable<void> RolloutRunner::run()
{
    while (m_context.versionGate.enabled()) {
        update(hostNow());
        if (m_context.versionGate.rollouts().empty()) {
            m_written.clear();
            m_announced.clear();
            co_await pause(IdleInterval);
            continue;
        }
        const bool mayCall = !m_retryAt || hostNow() >= *m_retryAt;
        if (mayCall) {
            co_await readUnknown();
        }
        std::vector<std::string> services;
        for (const auto &[service, rollout] : m_context.versionGate.rollouts()) {
            services.push_back(service);
        }
        for (const std::string &service : services) {
            if (m_duties.holds()) {
                co_await advance(service);
            }
        }
        announce();
        co_await pause(RunInterval);
    }
}

void RolloutRunner::update(TimePoint now)
{
    rollouts::VersionGate &gate = m_context.versionGate;
    gate.setHostCount(m_context.hostCount);
    // The first token may be 0, which stands for no holder here.
    gate.setHolderToken(m_duties.holds() ? m_duties.fence() + 1 : 0, now);
    std::vector<rollouts::ListedUpstream> upstreams;
    if (!gate.rollouts().empty()) {
        for (const auto &[instance, upstream] : m_context.directory.all()) {
            const directory::UpstreamEntry &entry = upstream.entry;
            const bool warmingUp = now < upstream.firstSeen + entry.warmUp;
            const bool usable = m_context.directory.usableRun(entry, now) != nullptr;
            upstreams.push_back({entry.service, entry.softwareVersion, entry.instance, entry.slots, usable, warmingUp});
        }
    }
    gate.update(upstreams, now);
    m_context.metrics.set("rosemaryshift_rollouts", "", static_cast<double>(gate.rollouts().size()));
    for (const auto &[service, rollout] : gate.rollouts()) {
        const rollouts::Report own = rollout.report(0, now);
        m_context.metrics.set("rosemaryshift_rollout_requests", R"(service=")" + service + R"(")", static_cast<double>(own.evidence.requests));
        m_context.metrics.set("rosemaryshift_rollout_exposed", R"(service=")" + service + R"(")", static_cast<double>(own.evidence.exposed));
    }
}

void RolloutRunner::announce()
{
    bool changed = false;
    for (const auto &[service, rollout] : m_context.versionGate.rollouts()) {
        const std::pair<rollouts::OrderId, rollouts::State> state(rollout.id(), rollout.state());
        const auto announced = m_announced.find(service);
        changed = changed || announced == m_announced.end() || announced->second != state;
        m_announced.insert_or_assign(service, state);
    }
    if (changed && m_duties.holds()) {
        m_gossip.sendNow();
    }
}

net::awaitable<void> RolloutRunner::readUnknown()
{
    const TimePoint now = hostNow();
    bool unknown = false;
    for (const auto &[service, rollout] : m_context.versionGate.rollouts()) {
        unknown = unknown || !rollout.age(now);
    }
    if (!unknown) {
        co_return;
    }
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::RolloutStates, LogCallTimeout, failure);
    m_retryAt = hostNow() + RetryDelay;
    if (!newest) {
        co_return;
    }
    applyRecords(newest->records);
    if (!m_duties.holds()) {
        co_return;
    }
    for (const auto &[service, rollout] : m_context.versionGate.rollouts()) {
        if (!rollout.age(hostNow()) && !isFinal(rollout.state())) {
            // No holder has begun it, so that the order was given while none could.
            m_context.versionGate.applyOrder(rollout.id(), rollouts::Order(rollout.order()), Duration::zero(), hostNow());
        }
    }
}

void RolloutRunner::applyRecords(std::span<const ports::Record> records)
{
    for (const ports::Record &found : records) {
        std::string reason;
        const std::optional<rollouts::StateRecord> state = m_context.ports.platformCodec->rolloutState(found, reason);
        if (state) {
            m_context.versionGate.applyRecord(*state, m_context.wallClock.sinceEpoch(hostNow()), hostNow());
        }
    }
}

rollouts::StateRecord RolloutRunner::stateRecord(const rollouts::Rollout &rollout, rollouts::State state) const
{
    const TimePoint now = hostNow();
    const Duration left = rollout.order().duration - rollout.age(now).value_or(Duration::zero());
    const std::int64_t deadline = wholeMilliseconds(m_context.wallClock.sinceEpoch(now) + left);
    return {rollout.order().service, rollout.order().version, state, rollout.id(), static_cast<std::uint64_t>(std::max<std::int64_t>(deadline, 1))};
}

net::awaitable<void> RolloutRunner::advance(std::string service)
{
    const rollouts::Rollout *const rollout = m_context.versionGate.find(service);
    if (rollout == nullptr) {
        co_return;
    }
    const rollouts::Decision decision = rollouts::RolloutController::decide(*rollout, m_context.hostCount, hostNow());
    if (decision.state != rollouts::State::Complete) {
        m_context.versionGate.applyState(service, rollout->id(), decision.state, false, hostNow());
    }
    const Written wanted{rollout->id(), decision.state, m_context.logEra.current()};
    const auto written = m_written.find(service);
    const bool mayCall = !m_retryAt || hostNow() >= *m_retryAt;
    if (mayCall && (written == m_written.end() || written->second != wanted)) {
        co_await record(service, decision.state, decision.reason);
    }
}

net::awaitable<void> RolloutRunner::record(std::string service, rollouts::State state, std::string_view reason)
{
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::RolloutStates, LogCallTimeout, failure);
    if (newest) {
        applyRecords(newest->records);
    }
    const rollouts::Rollout *rollout = m_context.versionGate.find(service);
    if (rollout == nullptr || !m_duties.holds()) {
        co_return;
    }
    const rollouts::OrderId id = rollout->id();
    // The records that were read may have brought an outcome, and the hosts may have seen more meanwhile.
    const bool stands = rollouts::RolloutController::decide(*rollout, m_context.hostCount, hostNow()).state == state;
    std::optional<ports::AppendResult> result;
    if (newest && stands) {
        ports::Record next = m_context.ports.platformCodec->rolloutStateRecord(stateRecord(*rollout, state));
        result = co_await m_context.ports.platformLog->append(ports::Topic::RolloutStates, std::move(next), newest->end.offset, LogCallTimeout, failure);
    }
    const bool appended = result && result->outcome == ports::AppendOutcome::Appended;
    if (appended) {
        m_written.insert_or_assign(service, Written{id, state, result->era ? result->era : m_context.logEra.current()});
        m_context.versionGate.applyState(service, id, state, true, hostNow());
    } else if (stands) {
        m_retryAt = hostNow() + RetryDelay;
    }
    m_context.eventLog.write(
        "rollout_recorded",
        eventlog::Importance::StateChange,
        {{"service", service},
         {"state", rollouts::name(state)},
         {"reason", reason},
         {"done", appended},
         {"failure", appended || !stands ? std::string_view() : (result ? std::string_view("conflict") : std::string_view(failure.detail))}});
}

}
