#include "gateway/internal/configurationfollower.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

#include <utility>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a read until its answer begins or goes on, beyond the time for which the read asks the log to wait for new records. Doubled after a read that has
/// ended so, since the log may be slower; up to the bound on configurations.
constexpr std::chrono::milliseconds ResponseTimeout{700};
/// Number of routes that are parsed in one turn of the event loop.
constexpr std::size_t RoutesPerTurn = 32;
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
constexpr double PeerFetchPart = 0.5;
/// Interval at which a host that has a reader checks whether its configuration is confirmed, and the newest that is known.
constexpr std::chrono::milliseconds ConfirmationPollInterval{100};
/// Delay before such a host reads the log again for a version that others know and its last read did not show, as when the log has lost it.
constexpr std::chrono::milliseconds MissingVersionDelay{500};

}

ConfigurationFollower::ConfigurationFollower(GatewayContext &context, LogRelay &relay, std::function<void()> onConfigurationChanged)
    : m_context(context)
    , m_relay(relay)
    , m_onConfigurationChanged(std::move(onConfigurationChanged))
    , m_responseTimeout(ResponseTimeout)
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
        const TimePoint now = hostNow();
        const std::optional<Duration> age = configuration.age(now);
        const bool readLately = m_readAt && now - *m_readAt < MissingVersionDelay;
        if (configuration.version() >= configuration.knownVersion()) {
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
    std::optional<ports::NewestRecords> newest = co_await m_context.ports.configurationLog->readNewest(ports::Topic::Configuration, m_responseTimeout, failure);
    adaptTimeout(newest.has_value(), failure.error, hostNow() - startedAt, std::chrono::milliseconds::zero());
    if (!newest) {
        co_return false;
    }
    m_readEndedAt = startedAt;
    m_position = newest->end;
    co_await applyRecords(std::move(newest->records), startedAt, newest->end.era, std::nullopt);
    m_context.configuration.confirmByLog(m_newestVersion, startedAt);
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
    const ports::LogPosition position = *m_position;
    std::optional<ports::RecordBatch> batch
        = co_await m_context.ports.configurationLog->readFrom(ports::Topic::Configuration, position, wait, m_responseTimeout, failure);
    adaptTimeout(batch.has_value(), failure.error, hostNow() - startedAt, wait);
    if (!batch) {
        co_return false;
    }
    if (batch->historyLost) {
        m_context.eventLog.write(
            "history_lost", eventlog::Importance::StateChange, {{"topic", "configuration"}, {"offset", static_cast<std::int64_t>(position.offset)}});
        m_position.reset();
        co_return true;
    }
    m_readEndedAt = hostNow();
    const std::optional<Duration> age = continues ? std::optional<Duration>(Duration::zero()) : std::nullopt;
    const bool isComplete = batch->next.offset >= batch->endOffset;
    const bool isAhead = m_position && m_position->era == batch->next.era && m_position->offset > batch->next.offset; // A peer has sent a later one meanwhile.
    if (!isAhead) {
        m_position = batch->next;
    }
    if (!isComplete) {
        // The answer is full. Each configuration replaces those before it, so that only the newest one is read from here.
        m_context.eventLog.write("configuration_read_in_part",
                                 eventlog::Importance::StateChange,
                                 {{"records", static_cast<std::int64_t>(batch->records.size())},
                                  {"next", static_cast<std::int64_t>(batch->next.offset)},
                                  {"end", static_cast<std::int64_t>(batch->endOffset)}});
        m_position.reset();
    }
    co_await applyRecords(std::move(batch->records), startedAt, batch->next.era, age);
    if (isComplete) {
        m_context.configuration.confirmByLog(m_newestVersion, startedAt);
    }
    co_return true;
}

void ConfigurationFollower::adaptTimeout(bool succeeded, ports::LogError error, Duration time, std::chrono::milliseconds wait)
{
    if (!succeeded && error == ports::LogError::Unreachable && time >= m_responseTimeout) {
        m_responseTimeout = std::min(2 * m_responseTimeout, std::max(m_context.settings.maxConfigurationDelay, ResponseTimeout));
    } else if (succeeded && time < wait + ResponseTimeout / 2) {
        m_responseTimeout = ResponseTimeout;
    }
}

net::awaitable<void> ConfigurationFollower::applyRecords(std::vector<ports::Record> records, TimePoint readAt, ports::LogEra era, std::optional<Duration> age)
{
    std::vector<ports::Record> configurations;
    for (ports::Record &record : records) {
        if (m_context.ports.platformCodec->isConfiguration(record) && record.value) {
            configurations.push_back(std::move(record));
        } else if (m_context.versionGate.enabled() && m_context.ports.platformCodec->isRolloutOrder(record)) {
            applyRolloutOrder(record, era, age);
        }
    }
    m_context.versionGate.noteOrdersRead(readAt);
    // Each configuration replaces those before it, so that only the last one is applied, or the last one that is not malformed.
    for (auto record = configurations.rbegin(); record != configurations.rend(); ++record) {
        const std::uint64_t version = co_await applyText(std::move(*record->value), ports::LogPosition{record->offset + 1, era}, "log", readAt);
        m_newestVersion = std::max(m_newestVersion, version);
        if (version > 0) {
            break;
        }
    }
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

net::awaitable<std::uint64_t>
ConfigurationFollower::applyText(std::string text, std::optional<ports::LogPosition> end, std::string_view source, TimePoint readAt)
{
    const std::vector<configurations::TextSection> sections = m_context.ports.platformCodec->sections(text);
    configurations::LoggedText split{configurations::SectionedText(sections, m_context.configuration.texts().current()), end};
    const std::uint64_t version = co_await apply(std::move(split), source, readAt);
    co_return version;
}

net::awaitable<std::uint64_t> ConfigurationFollower::apply(configurations::LoggedText text, std::string_view source, TimePoint readAt)
{
    std::string reason;
    std::optional<routing::Configuration> configuration = m_context.ports.platformCodec->configuration(text.text.textWithoutRoutes(), reason);
    const std::uint64_t version = configuration ? configuration->version : 0;
    if (configuration && version <= std::max(m_context.configuration.version(), m_decodedVersion)) {
        adoptPosition(text, version);
        if (version == m_context.configuration.version() && text.end) {
            m_context.configuration.texts().setEnd(*text.end);
        }
        co_return version;
    }
    if (configuration) {
        const std::uint64_t decodedBefore = std::exchange(m_decodedVersion, version);
        const bool decoded = co_await decodeRoutes(text.text, *configuration, reason);
        if (!decoded) {
            m_decodedVersion = decodedBefore;
            configuration.reset();
        }
    }
    if (!configuration) {
        m_context.eventLog.write("configuration_unreadable",
                                 eventlog::Importance::StateChange,
                                 {{"source", source}, {"reason", reason}, {"in_force", static_cast<std::int64_t>(m_context.configuration.version())}});
        co_return 0;
    }
    adoptPosition(text, version);
    putInForce(std::move(*configuration), std::move(text), source, readAt);
    co_return version;
}

void ConfigurationFollower::putInForce(routing::Configuration configuration, configurations::LoggedText text, std::string_view source, TimePoint readAt)
{
    const std::int64_t version = static_cast<std::int64_t>(configuration.version);
    const std::int64_t routes = static_cast<std::int64_t>(configuration.routes.size());
    const std::int64_t bytes = static_cast<std::int64_t>(text.text.bytes());
    if (!m_context.configuration.accept(std::move(configuration), std::move(text))) {
        return;
    }
    m_context.eventLog.write(
        "configuration_in_force",
        eventlog::Importance::StateChange,
        {{"source", source}, {"version", version}, {"routes", routes}, {"bytes", bytes}, {"read_ms", wholeMilliseconds(hostNow() - readAt)}});
    m_onConfigurationChanged();
    if (source == "log") {
        m_relay.announceConfiguration();
    }
}

net::awaitable<bool> ConfigurationFollower::decodeRoutes(const configurations::SectionedText &text, routing::Configuration &configuration, std::string &reason)
{
    const net::any_io_executor executor = co_await net::this_coro::executor;
    std::size_t parsed = 0;
    for (const std::shared_ptr<const configurations::Section> &section : text.sections()) {
        if (!section->isRoute) {
            continue;
        }
        std::shared_ptr<const routing::Route> route = m_context.configuration.decodedRoute(*section);
        if (!route) {
            std::optional<routing::Route> decoded = m_context.ports.platformCodec->route(section->text, reason);
            if (!decoded) {
                co_return false;
            }
            route = std::make_shared<const routing::Route>(std::move(*decoded));
            ++parsed;
            if (parsed % RoutesPerTurn == 0) {
                co_await net::post(executor, net::use_awaitable);
            }
        }
        configuration.routes.push_back(std::move(route));
    }
    m_context.metrics.count("rosemaryshift_configuration_routes_parsed_total", "", parsed);
    co_return true;
}

void ConfigurationFollower::adoptPosition(const configurations::LoggedText &text, std::uint64_t version)
{
    // Orders to roll out a version stand between the configurations, and each host has to read them.
    if (!m_position || !text.end || m_context.versionGate.enabled() || text.end->era != m_position->era || text.end->offset <= m_position->offset) {
        return;
    }
    m_position = text.end;
    m_newestVersion = std::max(m_newestVersion, version);
}

void ConfigurationFollower::updateReachable(bool reachable, std::string_view reason)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_context.eventLog.write(reachable ? "log_regained" : "log_lost", eventlog::Importance::StateChange, {{"topic", "configuration"}, {"reason", reason}});
    }
}

}
