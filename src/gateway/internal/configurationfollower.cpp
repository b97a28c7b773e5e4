#include "gateway/internal/configurationfollower.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Time for an answer beyond what a call asks the store to wait.
constexpr std::chrono::milliseconds CallTimeout{700};
/// Pause after a call that failed.
constexpr std::chrono::milliseconds FailurePause{200};
/// How long a read may wait, as a part of the bound on withdrawn keys. Its start is what confirms the configuration, so that an outage may begin
/// two waits after the last confirmation.
constexpr int WaitsPerRevocation = 5;

}

ConfigurationFollower::ConfigurationFollower(GatewayContext &context, std::function<void()> onNewConfiguration)
    : m_context(context)
    , m_onNewConfiguration(std::move(onNewConfiguration))
{
}

net::awaitable<void> ConfigurationFollower::run()
{
    while (true) {
        ports::LogFailure failure;
        bool done = false;
        if (m_offset) {
            done = co_await readOn(failure);
        } else {
            done = co_await readNewest(failure);
        }
        noteReachable(done, failure.detail);
        if (!done) {
            co_await pause(FailurePause);
        }
    }
}

net::awaitable<bool> ConfigurationFollower::readNewest(ports::LogFailure &failure)
{
    const TimePoint began = hostNow();
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.configurationLog->readNewest(ports::Topic::Configuration, CallTimeout, failure);
    if (!newest) {
        co_return false;
    }
    takeRecords(newest->records);
    m_offset = newest->endOffset;
    m_context.configuration.confirm(m_lastVersion, began);
    co_return true;
}

net::awaitable<bool> ConfigurationFollower::readOn(ports::LogFailure &failure)
{
    const TimePoint began = hostNow();
    // After an outage it matters most to know soon whether anything has changed.
    const std::chrono::milliseconds wait = m_reachable ? m_context.settings.maxRevocationDelay / WaitsPerRevocation : std::chrono::milliseconds::zero();
    const std::optional<ports::RecordBatch> batch
        = co_await m_context.ports.configurationLog->readFrom(ports::Topic::Configuration, *m_offset, wait, CallTimeout, failure);
    if (!batch) {
        co_return false;
    }
    if (batch->historyLost) {
        m_context.eventLog.write("history_lost", eventlog::Importance::Belief, {{"topic", "configuration"}, {"offset", static_cast<std::int64_t>(*m_offset)}});
        m_offset.reset();
        co_return true;
    }
    takeRecords(batch->records);
    m_offset = batch->nextOffset;
    m_context.configuration.confirm(m_lastVersion, began);
    co_return true;
}

void ConfigurationFollower::takeRecords(std::span<const ports::Record> records)
{
    for (const ports::Record &record : records) {
        if (m_context.ports.platformCodec->isConfiguration(record) && record.value) {
            m_lastVersion = std::max(m_lastVersion, take(*record.value, "log"));
        }
    }
}

std::uint64_t ConfigurationFollower::take(const std::string &text, std::string_view source)
{
    std::string reason;
    std::optional<routing::Configuration> configuration = m_context.ports.platformCodec->configuration(text, reason);
    if (!configuration) {
        m_context.eventLog.write("configuration_unreadable",
                                 eventlog::Importance::Belief,
                                 {{"source", source}, {"reason", reason}, {"in_force", static_cast<std::int64_t>(m_context.configuration.version())}});
        return 0;
    }
    const std::uint64_t version = configuration->version;
    const std::int64_t routes = static_cast<std::int64_t>(configuration->routes.size());
    if (m_context.configuration.accept(std::move(*configuration), text)) {
        m_context.eventLog.write(
            "configuration_in_force", eventlog::Importance::Belief, {{"source", source}, {"version", static_cast<std::int64_t>(version)}, {"routes", routes}});
        m_onNewConfiguration();
    }
    return version;
}

void ConfigurationFollower::noteReachable(bool reachable, std::string_view reason)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_context.eventLog.write(reachable ? "log_regained" : "log_lost", eventlog::Importance::Belief, {{"topic", "configuration"}, {"reason", reason}});
    }
}

}
