#pragma once

#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/logrelay.h"

#include <boost/asio/awaitable.hpp>

#include <functional>

namespace rosemaryshift::gateway {

/// Follows the configuration topic of the platform log and puts new configurations in force. Used from the gateway's thread.
class ConfigurationFollower
{
public:
    /// @p onConfigurationChanged is called after each change of the configuration in force.
    ConfigurationFollower(GatewayContext &context, LogRelay &relay, std::function<void()> onConfigurationChanged);

    /// Reads the topic until the process ends; never returns.
    boost::asio::awaitable<void> run();
    /// Parses a configuration and puts it in force; one that is malformed or not newer changes nothing. Only sections that differ from those in force are
    /// parsed, a few at a time between the other work of the event loop. @p source, "log" or "peer", goes into the event log with the time since @p readAt,
    /// when reading it began. Returns the version in @p text, or 0 when it is malformed.
    boost::asio::awaitable<std::uint64_t> apply(configurations::LoggedText text, std::string_view source, TimePoint readAt);
    /// The same, for a text that was not split yet. @p end: position behind its record in the log; nothing when that is not known.
    boost::asio::awaitable<std::uint64_t> applyText(std::string text, std::optional<ports::LogPosition> end, std::string_view source, TimePoint readAt);
    /// Writes to the event log when the configuration in force has not been confirmed for the bound on configurations, with what tells a late host from an
    /// outage of the log, and when it is confirmed again.
    void logConfirmation(TimePoint now);

private:
    boost::asio::awaitable<bool> readNewest(ports::LogFailure &failure);
    boost::asio::awaitable<bool> readNext(ports::LogFailure &failure);
    /// @p era: of the log that holds the records. @p age: how old they are at most; nothing when that is not known.
    boost::asio::awaitable<void> applyRecords(std::vector<ports::Record> records, TimePoint readAt, ports::LogEra era, std::optional<Duration> age);
    /// Adds the routes of @p text to @p configuration, in turns of the event loop. Returns false, and sets @p reason, when one is malformed.
    boost::asio::awaitable<bool> decodeRoutes(const configurations::SectionedText &text, routing::Configuration &configuration, std::string &reason);
    void putInForce(routing::Configuration configuration, configurations::LoggedText text, std::string_view source, TimePoint readAt);
    /// Continues reading the log behind the configuration that a peer has sent.
    void adoptPosition(const configurations::LoggedText &text, std::uint64_t version);
    /// Adapts the timeout of the next read to how long the last one took beyond @p wait.
    void adaptTimeout(bool succeeded, ports::LogError error, Duration time, std::chrono::milliseconds wait);
    void applyRolloutOrder(const ports::Record &record, ports::LogEra era, std::optional<Duration> age);
    void updateReachable(bool reachable, std::string_view reason);

    /// Waits while other hosts confirm the configuration in force, and this one need not read the log for it.
    boost::asio::awaitable<void> waitWhileConfirmed() const;

    GatewayContext &m_context;
    LogRelay &m_relay;
    const std::function<void()> m_onConfigurationChanged;
    std::optional<ports::LogPosition> m_position; ///< Position of the next read; nothing when the newest records must be read first.
    std::optional<TimePoint> m_readAt;            ///< Beginning of the last read of new records.
    std::optional<TimePoint> m_readEndedAt;       ///< When that read, if it succeeded, was answered.
    std::uint64_t m_newestVersion = 0;            ///< Newest version read from the log.
    std::uint64_t m_decodedVersion = 0;           ///< Newest version that was decoded, or is being decoded.
    std::chrono::milliseconds m_responseTimeout;  ///< For the first bytes of an answer, and between two parts of it.
    bool m_reachable = true;
    std::string m_lastFailure; ///< Of the last read of the log; empty when it succeeded.
    bool m_unconfirmedLogged = false;
};

}
