#include "gateway/internal/streamregistry.h"

#include "base/json.h"
#include "base/text.h"
#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a call to the log.
constexpr std::chrono::milliseconds CallTimeout{700};
/// Interval of each host, for each known host, at which it records streams: all hosts together append at most a hundred times per second.
constexpr std::chrono::milliseconds WriteIntervalPerHost{10};
/// Interval at which versions are checked while no streams need to be recorded.
constexpr std::chrono::milliseconds IdleInterval{250};
/// Maximum number of streams in one record.
constexpr std::size_t MaxRecordedStreams = 4'000;

/// The record that states that streams of @p version may be resumed. Its key has a bounded length.
ports::Record versionRecord(const streams::ServiceVersion &version)
{
    constexpr std::size_t KeyDigits = 32;
    Json::Value value;
    value["service"] = version.service;
    value["version"] = version.softwareVersion;
    return {sha256Hex(version.service + '\n' + version.softwareVersion).substr(0, KeyDigits), toText(value)};
}

std::optional<streams::ServiceVersion> recordedVersion(const ports::Record &record)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(record.value.value_or(""), reason);
    const std::optional<std::string> service = value ? stringMember(*value, "service") : std::nullopt;
    const std::optional<std::string> version = value ? stringMember(*value, "version") : std::nullopt;
    return service && version ? std::optional(streams::ServiceVersion{*service, *version}) : std::nullopt;
}

std::optional<streams::OriginReport> recordedOrigins(const ports::Record &record)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(record.value.value_or(""), reason);
    return value ? streams::originReport(*value) : std::nullopt;
}

}

StreamRegistry::StreamRegistry(GatewayContext &context, UpstreamFollower &upstreamFollower)
    : m_context(context)
    , m_upstreamFollower(upstreamFollower)
    , m_versionsReader([this] { return readVersions(); })
    , m_originsReader([this] { return readOrigins(); })
{
}

net::awaitable<void> StreamRegistry::run()
{
    while (true) {
        if (noteRestoredLog()) {
            // All hosts notice it within the same moment.
            co_await pause(std::chrono::duration_cast<std::chrono::milliseconds>(writeInterval() * m_context.randomFraction()));
        }
        const TimePoint now = hostNow();
        m_context.streamOrigins.expire(now);
        for (streams::ServiceVersion &version : m_context.softwareVersions.expire(now)) {
            m_retired.push_back(std::move(version));
        }
        bool succeeded = versionsRead();
        if (!succeeded) {
            succeeded = co_await m_versionsReader.run();
        }
        // Also after a failed read, since the topic does not exist before the first append.
        const bool versionsRecorded = co_await recordVersions();
        const bool originsRecorded = co_await recordOrigins();
        const bool retiredRemoved = co_await removeRetired();
        succeeded = succeeded && versionsRecorded && originsRecorded && retiredRemoved;
        co_await pause(succeeded ? writeInterval() : std::max(writeInterval(), IdleInterval));
    }
}

std::chrono::milliseconds StreamRegistry::writeInterval() const
{
    const std::chrono::milliseconds interval = WriteIntervalPerHost * static_cast<int>(m_context.hostCount);
    return m_context.softwareVersions.mixedServices().empty() ? std::max(interval, IdleInterval) : interval;
}

bool StreamRegistry::versionsRead() const
{
    return m_upstreamFollower.listRead() && m_versionsReadAfter == m_upstreamFollower.newestReads() && m_versionsReadRises == m_context.logEra.rises();
}

bool StreamRegistry::noteRestoredLog()
{
    if (m_notedRises == m_context.logEra.rises()) {
        return false;
    }
    m_notedRises = m_context.logEra.rises();
    m_context.streamOrigins.noteRecordsLost();
    m_context.softwareVersions.noteRecordsLost();
    return true;
}

net::awaitable<bool> StreamRegistry::readVersions()
{
    if (!m_upstreamFollower.listRead()) {
        co_return false;
    }
    const std::uint64_t newestReads = m_upstreamFollower.newestReads();
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::SoftwareVersions, CallTimeout, failure);
    if (!newest) {
        m_context.eventLog.write("versions_not_read", eventlog::Importance::Failure, {{"reason", failure.detail}});
        co_return false;
    }
    noteRestoredLog(); // Before the records of the restored log are noted.
    for (const ports::Record &record : newest->records) {
        if (const std::optional<streams::ServiceVersion> version = recordedVersion(record)) {
            m_context.softwareVersions.noteRecorded(*version, hostNow());
        }
    }
    m_versionsReadAfter = newestReads;
    m_versionsReadRises = m_context.logEra.rises();
    co_return true;
}

net::awaitable<bool> StreamRegistry::recordVersions()
{
    for (const streams::ServiceVersion &version : m_context.softwareVersions.unrecorded()) {
        ports::LogFailure failure;
        ports::Record record = versionRecord(version);
        const std::optional<ports::AppendResult> result
            = co_await m_context.ports.platformLog->append(ports::Topic::SoftwareVersions, std::move(record), std::nullopt, CallTimeout, failure);
        if (!result) {
            m_context.eventLog.write("version_not_recorded",
                                     eventlog::Importance::Failure,
                                     {{"service", version.service}, {"version", version.softwareVersion}, {"reason", failure.detail}});
            co_return false;
        }
        m_context.softwareVersions.noteRecorded(version, hostNow());
    }
    co_return true;
}

net::awaitable<bool> StreamRegistry::removeRetired()
{
    while (!m_retired.empty()) {
        ports::LogFailure failure;
        ports::Record tombstone{versionRecord(m_retired.back()).key, std::nullopt};
        const std::optional<ports::AppendResult> result
            = co_await m_context.ports.platformLog->append(ports::Topic::SoftwareVersions, std::move(tombstone), std::nullopt, CallTimeout, failure);
        if (!result) {
            co_return false; // Tried again later; the record only makes hosts that start meanwhile more careful.
        }
        m_retired.pop_back();
    }
    co_return true;
}

net::awaitable<bool> StreamRegistry::recordOrigins()
{
    const streams::OriginReport report = m_context.streamOrigins.unrecorded(recordedServices(), MaxRecordedStreams);
    if (report.size() == 0) {
        co_return true;
    }
    ports::LogFailure failure;
    ports::Record record{m_context.settings.name, toText(streams::toJson(report))};
    const std::optional<ports::AppendResult> result
        = co_await m_context.ports.platformLog->append(ports::Topic::StreamOrigins, std::move(record), std::nullopt, CallTimeout, failure);
    if (!result) {
        m_context.eventLog.write(
            "streams_not_recorded", eventlog::Importance::Failure, {{"streams", static_cast<std::int64_t>(report.size())}, {"reason", failure.detail}});
        co_return false;
    }
    m_context.streamOrigins.noteRecorded(report);
    co_return true;
}

net::awaitable<bool> StreamRegistry::readOrigins()
{
    while (true) {
        ports::LogFailure failure;
        const std::optional<ports::RecordBatch> batch = co_await m_context.ports.platformLog->readFrom(
            ports::Topic::StreamOrigins, m_originsPosition, std::chrono::milliseconds::zero(), CallTimeout, failure);
        if (!batch) {
            m_context.eventLog.write("streams_not_read", eventlog::Importance::Failure, {{"reason", failure.detail}});
            co_return false;
        }
        if (batch->historyLost) {
            if (batch->next == m_originsPosition) {
                co_return false;
            }
            m_originsPosition = batch->next;
            continue;
        }
        const TimePoint now = hostNow();
        for (const ports::Record &record : batch->records) {
            if (const std::optional<streams::OriginReport> report = recordedOrigins(record)) {
                m_context.streamOrigins.apply(*report, now);
            } else {
                m_context.eventLog.write("streams_unreadable", eventlog::Importance::Failure, {{"offset", static_cast<std::int64_t>(record.offset)}});
            }
        }
        const bool rewound = batch->endOffset < m_originsPosition.offset; // The log was restored from an earlier copy and does not state its era.
        m_originsPosition = rewound ? ports::LogPosition{} : batch->next;
        if (!rewound && m_originsPosition.offset >= batch->endOffset) {
            co_return true;
        }
    }
}

std::set<std::string> StreamRegistry::recordedServices()
{
    const std::shared_ptr<const routing::RouteTable> table = m_context.configuration.table();
    if (table && table->configuration().version != m_configurationVersion) {
        m_configurationVersion = table->configuration().version;
        m_splitServices.clear();
        for (const routing::Route &route : table->configuration().routes) {
            if (route.kind == routing::RequestKind::Streaming && route.resumable && route.services.size() > 1) {
                for (const routing::WeightedService &service : route.services) {
                    m_splitServices.insert(service.service);
                }
            }
        }
    }
    std::set<std::string> services = m_context.softwareVersions.mixedServices();
    services.insert(m_splitServices.begin(), m_splitServices.end());
    return services;
}

std::optional<streams::Origin> StreamRegistry::soleOrigin(const std::set<std::string> &services) const
{
    if (services.size() != 1 || !versionsRead()) {
        return std::nullopt;
    }
    const std::set<std::string> versions = m_context.softwareVersions.versions(*services.begin());
    return versions.size() == 1 ? std::optional(streams::Origin{*services.begin(), *versions.begin()}) : std::nullopt;
}

net::awaitable<std::optional<streams::Origin>> StreamRegistry::find(std::optional<streams::StreamKey> key, std::set<std::string> services)
{
    if (std::optional<streams::Origin> known = key ? m_context.streamOrigins.find(*key) : std::nullopt) {
        co_return known;
    }
    if (!versionsRead()) {
        co_await m_versionsReader.run();
    }
    if (soleOrigin(services)) {
        // Another host may have begun the stream at a version that was listed after this host last read the list.
        if (m_context.listAvailability.unreachable()) {
            co_return std::nullopt;
        }
        const bool listRead = co_await m_upstreamFollower.refresh();
        if (!listRead) {
            co_return std::nullopt;
        }
        if (!versionsRead()) {
            co_await m_versionsReader.run();
        }
    }
    if (std::optional<streams::Origin> sole = soleOrigin(services)) {
        co_return sole;
    }
    if (!key) {
        co_return std::nullopt;
    }
    co_await m_originsReader.run();
    co_return m_context.streamOrigins.find(*key);
}

}
