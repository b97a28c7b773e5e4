#include "gateway/internal/configurationfollower.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a read, beyond the time for which the read asks the log to wait for new records.
constexpr std::chrono::milliseconds ResponseTimeout{700};
/// Longest pause between two reads after which the records of the second one count as just written.
constexpr std::chrono::milliseconds FreshRecordTime{250};
/// Delay before a failed read is repeated.
constexpr std::chrono::milliseconds RetryDelay{200};
/// The longest wait of a read is the bound on the revocation of API keys divided by this number. A read confirms the configuration as of its start,
/// so that when an outage begins, the last confirmation may be up to two waits old.
constexpr int ReadsPerRevocationDelay = 5;
/// A host that others ask waits for a shorter time, by this factor, since what it tells is as old as its last read.
constexpr int ReaderReadsPerInterval = 2;
/// A host that has a reader reads the log itself when its configuration was last confirmed longer ago than this part of the bound on revocations.
constexpr double ConfirmedPart = 0.6;
/// Such a host leaves it to a fetch from a peer to bring a newer configuration that others know, for this part of the bound on configurations.
constexpr double PeerFetchPart = 0.25;
/// Interval at which a host that has a reader checks whether its configuration is confirmed, and the newest that is known.
constexpr std::chrono::milliseconds ConfirmationPollInterval{100};
/// Delay before such a host reads the log again for a version that others know and its last read did not show, as when the log has lost it.
constexpr std::chrono::milliseconds MissingVersionDelay{500};

}

ConfigurationFollower::ConfigurationFollower(GatewayContext &context, const LogRelay &relay, std::function<void()> onConfigurationChanged)
    : m_context(context)
    , m_relay(relay)
    , m_onConfigurationChanged(std::move(onConfigurationChanged))
{
}

net::awaitable<void> ConfigurationFollower::run()
{
    while (true) {
        co_await waitWhileConfirmed();
        ports::LogFailure failure;
        bool succeeded = false;
        if (m_position) {
            succeeded = co_await readNext(failure);
        } else {
            succeeded = co_await readNewest(failure);
        }
        updateReachable(succeeded, failure.detail);
        m_lastFailure = succeeded ? std::string() : failure.detail;
        if (!succeeded) {
            co_await pause(RetryDelay);
        }
    }
}

void ConfigurationFollower::logConfirmation(TimePoint now)
{
    const std::optional<Duration> age = m_context.configuration.age(now);
    const bool unconfirmed = age && *age > m_context.settings.maxConfigurationDelay;
    if (unconfirmed == m_unconfirmedLogged) {
        return;
    }
    m_unconfirmedLogged = unconfirmed;
    if (!unconfirmed) {
        m_context.eventLog.write("configuration_confirmed", eventlog::Importance::StateChange, {{"age_ms", wholeMilliseconds(*age)}});
        return;
    }
    m_context.eventLog.write("configuration_unconfirmed",
                             eventlog::Importance::StateChange,
                             {{"version", static_cast<std::int64_t>(m_context.configuration.version())},
                              {"known", static_cast<std::int64_t>(m_context.configuration.knownVersion())},
                              {"age_ms", wholeMilliseconds(*age)},
                              {"last_read", m_lastFailure.empty() ? std::string_view("ok") : std::string_view(m_lastFailure)},
                              {"list_in_reach", m_context.listAvailability.reachableFor(now).has_value()},
                              {"loop_delay_ms", wholeMilliseconds(m_context.loopDelay.estimate(now))}});
}

net::awaitable<void> ConfigurationFollower::waitWhileConfirmed() const
{
    const Duration longestAge = std::chrono::duration_cast<Duration>(m_context.settings.maxRevocationDelay * ConfirmedPart);
    const Duration fetchTime = std::chrono::duration_cast<Duration>(m_context.settings.maxConfigurationDelay * PeerFetchPart);
    std::optional<TimePoint> outdatedSince;
    // Also while the log is out of this host's reach: the readers tell what changes, and what they cannot tell is soon too old.
    while (m_position && m_relay.hasReader(hostNow())) {
        co_await pause(ConfirmationPollInterval);
        const ActiveConfiguration &configuration = m_context.configuration;
        const std::uint64_t newest = std::max(configuration.knownVersion(), m_relay.newestConfiguration());
        const TimePoint now = hostNow();
        const std::optional<Duration> age = configuration.age(now);
        const bool readLately = m_readAt && now - *m_readAt < MissingVersionDelay;
        if (configuration.version() >= newest) {
            outdatedSince.reset();
        } else if (!outdatedSince) {
            outdatedSince = now;
        }
        const bool isFetchLate = outdatedSince && now - *outdatedSince > fetchTime;
        if (!age || *age > longestAge || (isFetchLate && !readLately)) {
            co_return;
        }
    }
}

net::awaitable<bool> ConfigurationFollower::readNewest(ports::LogFailure &failure)
{
    const TimePoint startedAt = hostNow();
    const std::optional<ports::NewestRecords> newest
        = co_await m_context.ports.configurationLog->readNewest(ports::Topic::Configuration, ResponseTimeout, failure);
    if (!newest) {
        co_return false;
    }
    applyRecords(newest->records, startedAt, newest->end.era, std::nullopt);
    m_readEndedAt = startedAt;
    m_position = newest->end;
    m_context.configuration.confirm(m_newestVersion, startedAt);
    co_return true;
}

net::awaitable<bool> ConfigurationFollower::readNext(ports::LogFailure &failure)
{
    const TimePoint startedAt = hostNow();
    // What a read returns that continues the one before without a pause has been written since that one ended.
    const bool continues = m_readEndedAt && startedAt - *m_readEndedAt < FreshRecordTime;
    m_readAt = startedAt;
    // After an outage, read without waiting, to learn soon whether anything changed.
    std::chrono::milliseconds wait = m_reachable ? m_context.settings.maxRevocationDelay / ReadsPerRevocationDelay : std::chrono::milliseconds::zero();
    if (m_relay.hasReader(startedAt)) {
        wait = std::chrono::milliseconds::zero();
    } else if (m_relay.isReader()) {
        wait /= ReaderReadsPerInterval;
    }
    const std::optional<ports::RecordBatch> batch
        = co_await m_context.ports.configurationLog->readFrom(ports::Topic::Configuration, *m_position, wait, ResponseTimeout, failure);
    if (!batch) {
        co_return false;
    }
    if (batch->historyLost) {
        m_context.eventLog.write(
            "history_lost", eventlog::Importance::StateChange, {{"topic", "configuration"}, {"offset", static_cast<std::int64_t>(m_position->offset)}});
        m_position.reset();
        co_return true;
    }
    m_readEndedAt = hostNow();
    if (batch->next.offset < batch->endOffset) {
        m_context.eventLog.write("configuration_read_in_part",
                                 eventlog::Importance::StateChange,
                                 {{"records", static_cast<std::int64_t>(batch->records.size())},
                                  {"next", static_cast<std::int64_t>(batch->next.offset)},
                                  {"end", static_cast<std::int64_t>(batch->endOffset)}});
    }
    const std::optional<Duration> age = continues ? std::optional<Duration>(Duration::zero()) : std::nullopt;
    applyRecords(batch->records, startedAt, batch->next.era, age);
    m_position = batch->next;
    m_context.configuration.confirm(m_newestVersion, startedAt);
    co_return true;
}

void ConfigurationFollower::applyRecords(std::span<const ports::Record> records, TimePoint readAt, ports::LogEra era, std::optional<Duration> age)
{
    for (const ports::Record &record : records) {
        if (m_context.ports.platformCodec->isConfiguration(record) && record.value) {
            m_newestVersion = std::max(m_newestVersion, applyText(*record.value, "log", readAt));
        } else if (m_context.versionGate.enabled() && m_context.ports.platformCodec->isRolloutOrder(record)) {
            applyRolloutOrder(record, era, age);
        }
    }
    m_context.versionGate.noteOrdersRead(readAt);
}

void ConfigurationFollower::applyRolloutOrder(const ports::Record &record, ports::LogEra era, std::optional<Duration> age)
{
    std::string reason = "no value";
    std::optional<rollouts::Order> order;
    if (record.value) {
        order = m_context.ports.platformCodec->rolloutOrder(record, reason);
    }
    if (!order) {
        m_context.metrics.count("rosemaryshift_rollout_orders_unreadable_total", "");
        m_context.eventLog.write("rollout_order_unreadable", eventlog::Importance::Failure, {{"key", record.key}, {"reason", reason}});
        return;
    }
    m_context.versionGate.applyOrder(rollouts::orderId(era.value_or(0), record.offset), *order, age, hostNow());
}

std::uint64_t ConfigurationFollower::applyText(const std::string &text, std::string_view source, TimePoint readAt)
{
    std::string reason;
    std::optional<routing::Configuration> configuration = m_context.ports.platformCodec->configuration(text, reason);
    if (!configuration) {
        m_context.eventLog.write("configuration_unreadable",
                                 eventlog::Importance::StateChange,
                                 {{"source", source}, {"reason", reason}, {"in_force", static_cast<std::int64_t>(m_context.configuration.version())}});
        return 0;
    }
    const std::uint64_t version = configuration->version;
    const std::int64_t routes = static_cast<std::int64_t>(configuration->routes.size());
    const std::int64_t bytes = static_cast<std::int64_t>(text.size());
    if (m_context.configuration.accept(std::move(*configuration), text)) {
        m_context.eventLog.write("configuration_in_force",
                                 eventlog::Importance::StateChange,
                                 {{"source", source},
                                  {"version", static_cast<std::int64_t>(version)},
                                  {"routes", routes},
                                  {"bytes", bytes},
                                  {"read_ms", wholeMilliseconds(hostNow() - readAt)}});
        m_onConfigurationChanged();
    }
    return version;
}

void ConfigurationFollower::updateReachable(bool reachable, std::string_view reason)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_context.eventLog.write(reachable ? "log_regained" : "log_lost", eventlog::Importance::StateChange, {{"topic", "configuration"}, {"reason", reason}});
    }
}

}
