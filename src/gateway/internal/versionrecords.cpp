#include "gateway/internal/versionrecords.h"

#include "base/json.h"
#include "base/text.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a call to the log.
constexpr std::chrono::milliseconds CallTimeout{700};
/// Time after a restore of the log in which callers may still resume streams whose records are lost; longer than the deadlines of requests.
constexpr std::chrono::seconds LostRecordLifetime{60};

/// The record that states that streams of @p version may be resumed. Its key has a bounded length. @p defaultEra: the era of the log in which it is the
/// default version.
ports::Record versionRecord(const streams::ServiceVersion &version, std::optional<std::uint64_t> defaultEra)
{
    constexpr std::size_t KeyDigits = 32;
    Json::Value value;
    value["service"] = version.service;
    value["version"] = version.softwareVersion;
    if (defaultEra) {
        value["default_in_era"] = *defaultEra;
    }
    return {sha256Hex(version.service + '\n' + version.softwareVersion).substr(0, KeyDigits), toText(value)};
}

struct RecordedVersion {
    streams::ServiceVersion version;
    std::optional<std::uint64_t> defaultEra;
};

std::optional<RecordedVersion> recordedVersion(const ports::Record &record)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(record.value.value_or(""), reason);
    const std::optional<std::string> service = value ? stringMember(*value, "service") : std::nullopt;
    const std::optional<std::string> version = value ? stringMember(*value, "version") : std::nullopt;
    if (!service || !version) {
        return std::nullopt;
    }
    return RecordedVersion{{*service, *version}, unsignedMember(*value, "default_in_era")};
}

}

VersionRecords::VersionRecords(GatewayContext &context, UpstreamFollower &upstreamFollower)
    : m_context(context)
    , m_upstreamFollower(upstreamFollower)
    , m_reader([this] { return readNewest(); })
{
}

bool VersionRecords::current() const
{
    return m_upstreamFollower.listRead() && m_readAfter == m_upstreamFollower.newestReads() && m_readRises == m_context.logEra.rises();
}

net::awaitable<bool> VersionRecords::read()
{
    return m_reader.run();
}

void VersionRecords::noteRestoredLog()
{
    if (m_notedRises != m_context.logEra.rises()) {
        m_notedRises = m_context.logEra.rises();
        m_restoredAt = hostNow();
        m_context.softwareVersions.noteRecordsLost();
    }
}

bool VersionRecords::mayRecordDefault() const
{
    return !m_restoredAt || hostNow() - *m_restoredAt > LostRecordLifetime;
}

net::awaitable<bool> VersionRecords::readNewest()
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
    const std::uint64_t era = newest->end.era.value_or(0);
    for (const ports::Record &record : newest->records) {
        if (const std::optional<RecordedVersion> recorded = recordedVersion(record)) {
            m_context.softwareVersions.noteRecorded(recorded->version, recorded->defaultEra == era, hostNow());
            if (recorded->defaultEra && *recorded->defaultEra != era && !m_restoredAt) {
                m_restoredAt = hostNow(); // The log was restored before this process started.
            }
        }
    }
    m_endOffset = newest->end.offset;
    m_readAfter = newestReads;
    m_readRises = m_context.logEra.rises();
    co_return true;
}

net::awaitable<bool> VersionRecords::record()
{
    noteRestoredLog();
    if (mayRecordDefault()) {
        for (const streams::ServiceVersion &version : m_context.softwareVersions.defaultCandidates()) {
            const bool appended = co_await append(version, true);
            if (!appended) {
                co_return false;
            }
        }
    }
    for (const streams::ServiceVersion &version : m_context.softwareVersions.unrecorded()) {
        const bool appended = co_await append(version, false);
        if (!appended) {
            co_return false;
        }
    }
    co_return true;
}

net::awaitable<bool> VersionRecords::append(streams::ServiceVersion version, bool isDefault)
{
    if (!current()) {
        co_return false;
    }
    const std::uint64_t era = m_context.logEra.current().value_or(0);
    ports::Record record = versionRecord(version, isDefault ? std::optional(era) : std::nullopt);
    ports::LogFailure failure;
    const std::optional<ports::AppendResult> result
        = co_await m_context.ports.platformLog->append(ports::Topic::SoftwareVersions, std::move(record), m_endOffset, CallTimeout, failure);
    const bool appended = result && result->outcome == ports::AppendOutcome::Appended && result->era.value_or(0) == era;
    if (!result) {
        m_context.eventLog.write("version_not_recorded",
                                 eventlog::Importance::Failure,
                                 {{"service", version.service}, {"version", version.softwareVersion}, {"reason", failure.detail}});
    }
    if (!appended) {
        m_readAfter = 0; // Another host may have recorded the version, and as the default.
        co_return false;
    }
    ++m_endOffset;
    m_context.softwareVersions.noteRecorded(version, isDefault, hostNow());
    co_return true;
}

net::awaitable<bool> VersionRecords::removeRetired()
{
    for (streams::ServiceVersion &version : m_context.softwareVersions.expire(hostNow())) {
        m_retired.push_back(std::move(version));
    }
    while (!m_retired.empty()) {
        ports::LogFailure failure;
        ports::Record tombstone{versionRecord(m_retired.back(), std::nullopt).key, std::nullopt};
        const std::optional<ports::AppendResult> result
            = co_await m_context.ports.platformLog->append(ports::Topic::SoftwareVersions, std::move(tombstone), std::nullopt, CallTimeout, failure);
        if (!result) {
            co_return false; // Tried again later; the record only makes hosts that start meanwhile more careful.
        }
        m_retired.pop_back();
        m_readAfter = 0;
    }
    co_return true;
}

}
