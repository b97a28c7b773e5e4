#include "gateway/internal/streamregistry.h"

#include "base/json.h"
#include "base/text.h"
#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a call to the log.
constexpr std::chrono::milliseconds CallTimeout{700};
/// Interval of each host, for each known host, at which it records streams: all hosts together append at most a hundred times per second.
constexpr std::chrono::milliseconds WriteIntervalPerHost{10};
/// The same while the first events of streams wait for their record, and the shortest such interval.
constexpr std::chrono::milliseconds WaitingWriteIntervalPerHost{4};
constexpr std::chrono::milliseconds ShortestWriteInterval{40};
/// Timeout of an append for which a first event waits.
constexpr std::chrono::milliseconds WaitingCallTimeout{400};
/// Time after a failed append in which no first event waits for another one.
constexpr std::chrono::seconds FailedAppendPause{1};
/// Time within which all hosts notice by their reads of the list that the log is away for all.
constexpr std::chrono::seconds OutageNoticeTime{2};
/// Interval at which versions are checked while no streams need to be recorded.
constexpr std::chrono::milliseconds IdleInterval{250};
/// Maximum number of streams in one record.
constexpr std::size_t MaxRecordedStreams = 4'000;

/// Separates, in the key of a record of streams, the name of the host from the time of writing in milliseconds since the Unix epoch. The topic is not kept by
/// key.
constexpr char KeySeparator = '@';

std::optional<std::chrono::milliseconds> writtenAt(const ports::Record &record)
{
    const std::size_t separator = record.key.rfind(KeySeparator);
    const std::optional<std::uint64_t> written = separator == std::string::npos ? std::nullopt : parseUnsigned(record.key.substr(separator + 1));
    return written ? std::optional(std::chrono::milliseconds(*written)) : std::nullopt;
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
    , m_versionRecords(context, upstreamFollower)
    , m_originsReader([this] { return readOrigins(); })
    , m_originsWriter([this] { return recordOrigins(); })
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
        noteAvailability(now);
        bool versionsRead = m_versionRecords.current();
        if (!versionsRead) {
            versionsRead = co_await m_versionRecords.read();
        }
        // Also after a failed read, since the topic does not exist before the first append.
        const bool versionsRecorded = co_await m_versionRecords.record();
        co_await noteMixedServices();
        const bool originsRecorded = co_await m_originsWriter.run();
        const bool retiredRemoved = co_await m_versionRecords.removeRetired();
        const bool succeeded = versionsRead && versionsRecorded && originsRecorded && retiredRemoved;
        co_await pause(succeeded ? writeInterval() : std::max(writeInterval(), IdleInterval));
    }
}

void StreamRegistry::noteAvailability(TimePoint now)
{
    if (!m_context.listAvailability.unreachable()) {
        m_unreachableSince.reset();
        return;
    }
    m_unreachableSince = m_unreachableSince.value_or(now);
    m_unreachableAt = now;
}

net::awaitable<void> StreamRegistry::noteMixedServices()
{
    const bool mixed = !m_context.softwareVersions.mixedServices().empty();
    if (mixed && !std::exchange(m_knewMixed, mixed)) {
        // Only from now on there are records that matter, so that none of those which the log has dropped is missed.
        co_await m_originsReader.run();
        m_originsKnownSince = TimePoint();
    }
    m_knewMixed = mixed;
}

std::chrono::milliseconds StreamRegistry::writeInterval() const
{
    const std::chrono::milliseconds interval = WriteIntervalPerHost * static_cast<int>(m_context.hostCount);
    return m_context.softwareVersions.mixedServices().empty() ? std::max(interval, IdleInterval) : interval;
}

bool StreamRegistry::noteRestoredLog()
{
    if (m_notedRises == m_context.logEra.rises()) {
        return false;
    }
    m_notedRises = m_context.logEra.rises();
    m_context.streamOrigins.noteRecordsLost();
    return true;
}

net::awaitable<bool> StreamRegistry::record(streams::StreamKey key)
{
    m_waiting.push_back(key);
    co_await m_originsWriter.run();
    co_return m_context.streamOrigins.isRecorded(key);
}

void StreamRegistry::recordBehind(streams::StreamKey key, const net::any_io_executor &executor)
{
    m_waiting.push_back(key);
    startTask(executor, recordWaiting());
}

net::awaitable<void> StreamRegistry::recordWaiting()
{
    co_await m_originsWriter.run();
}

net::awaitable<bool> StreamRegistry::recordOrigins()
{
    if (!m_waiting.empty()) {
        const std::chrono::milliseconds interval = std::max(WaitingWriteIntervalPerHost * static_cast<int>(m_context.hostCount), ShortestWriteInterval);
        const Duration left = m_recordedAt + interval - hostNow();
        if (left > Duration::zero()) {
            co_await pause(std::chrono::ceil<std::chrono::milliseconds>(left));
        }
    }
    const std::vector<streams::StreamKey> waiting = std::exchange(m_waiting, {});
    streams::OriginReport report = m_context.streamOrigins.unrecorded(recordedServices(), MaxRecordedStreams);
    report.merge(m_context.streamOrigins.report(waiting));
    if (report.size() == 0) {
        co_return true;
    }
    m_recordedAt = hostNow();
    const std::int64_t writtenMs = wholeMilliseconds(m_context.wallClock.sinceEpoch(m_recordedAt));
    ports::LogFailure failure;
    ports::Record record{m_context.settings.name + KeySeparator + std::to_string(writtenMs), toText(streams::toJson(report))};
    const std::optional<ports::AppendResult> result = co_await m_context.ports.platformLog->append(
        ports::Topic::StreamOrigins, std::move(record), std::nullopt, waiting.empty() ? CallTimeout : WaitingCallTimeout, failure);
    if (!result) {
        m_appendFailed = true;
        m_context.eventLog.write(
            "streams_not_recorded", eventlog::Importance::Failure, {{"streams", static_cast<std::int64_t>(report.size())}, {"reason", failure.detail}});
        co_return false;
    }
    m_appendFailed = false;
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
            // The records before the first one that is left have expired, or were dropped early.
            m_originsKnownSince = batch->next.offset == 0 ? TimePoint() : hostNow();
            m_firstLeft = batch->next.offset;
            continue;
        }
        const TimePoint now = hostNow();
        for (const ports::Record &record : batch->records) {
            if (const std::optional<std::chrono::milliseconds> written = writtenAt(record); written && record.offset == m_firstLeft) {
                m_originsKnownSince = std::min(m_originsKnownSince, now - (m_context.wallClock.sinceEpoch(now) - *written));
            }
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
        for (const std::shared_ptr<const routing::Route> &route : table->configuration().routes) {
            if (route->kind == routing::RequestKind::Streaming && route->resumable && route->services.size() > 1) {
                for (const routing::WeightedService &service : route->services) {
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
    if (services.size() != 1 || !m_versionRecords.current()) {
        return std::nullopt;
    }
    const std::set<std::string> versions = m_context.softwareVersions.versions(*services.begin());
    return versions.size() == 1 ? std::optional(streams::Origin{*services.begin(), *versions.begin()}) : std::nullopt;
}

net::awaitable<std::optional<streams::Origin>> StreamRegistry::defaultOrigin(std::set<std::string> services, Duration longestStream)
{
    const TimePoint now = hostNow();
    const bool outage = m_unreachableAt && now - *m_unreachableAt <= longestStream; // Hosts could not record their streams.
    const bool dropped = now - m_originsKnownSince <= longestStream;
    if (services.size() != 1 || outage || dropped) {
        co_return std::nullopt;
    }
    const bool versionsRead = co_await m_versionRecords.read();
    const std::string &service = *services.begin();
    const std::optional<std::string> version = versionsRead ? m_context.softwareVersions.defaultVersion(service) : std::nullopt;
    co_return version ? std::optional(streams::Origin{service, *version}) : std::nullopt;
}

net::awaitable<bool> StreamRegistry::refreshVersions()
{
    if (m_context.listAvailability.unreachable()) {
        co_return false;
    }
    const bool listRead = co_await m_upstreamFollower.refresh();
    if (!listRead || m_versionRecords.current()) {
        co_return listRead;
    }
    const bool versionsRead = co_await m_versionRecords.read();
    co_return versionsRead;
}

net::awaitable<std::optional<streams::Origin>>
StreamRegistry::find(std::optional<streams::StreamKey> key, std::set<std::string> services, Duration longestStream)
{
    std::optional<streams::Origin> known = key ? m_context.streamOrigins.find(*key) : std::nullopt;
    if (known && known->certain()) {
        if (m_context.softwareVersions.mixedServices().contains(known->service)) {
            co_await refreshVersions(); // An upstream of its version may have started again with another one.
        }
        co_return known;
    }
    // Another host may have begun the stream at a version that was listed after this host last read the list.
    const bool refreshed = co_await refreshVersions();
    const std::optional<streams::Origin> sole = refreshed ? soleOrigin(services) : std::nullopt;
    if (sole || known || !key) {
        co_return sole ? sole : known; // An uncertain origin is one of the known versions.
    }
    const bool originsRead = co_await m_originsReader.run();
    known = m_context.streamOrigins.find(*key);
    if (known || !originsRead) {
        co_return known;
    }
    std::optional<streams::Origin> origin = co_await defaultOrigin(services, longestStream);
    co_return origin;
}

bool StreamRegistry::needsRecord(const streams::Origin &origin) const
{
    const std::optional<std::string> version = m_context.softwareVersions.defaultVersion(origin.service);
    const bool single = m_context.softwareVersions.versions(origin.service).size() == 1;
    return !origin.certain() || (version ? *version != origin.softwareVersion : !single);
}

bool StreamRegistry::mayBeRecordedBehind(const streams::Origin &origin) const
{
    return m_context.softwareVersions.versions(origin.service).size() == 1;
}

bool StreamRegistry::canRecord() const
{
    const bool failing = m_appendFailed && hostNow() - m_recordedAt < FailedAppendPause;
    return !m_context.listAvailability.unreachable() && !failing;
}

bool StreamRegistry::rejectedByLogAlone() const
{
    if (!m_unreachableSince) {
        return false;
    }
    // What peers said before the outage, or shortly after it began, says nothing of it.
    const TimePoint noticed = *m_unreachableSince + OutageNoticeTime;
    return std::ranges::any_of(m_context.peers->peers(),
                               [noticed](const auto &entry) { return entry.second.heard > noticed && entry.second.status.listReachableMs.has_value(); });
}

}
