#include "gateway/internal/upstreamfollower.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

/// Timeout of a read.
constexpr std::chrono::milliseconds ResponseTimeout{700};
/// Delay before a failed read is repeated. Together with ResponseTimeout it stays below one second, since the changes made during an outage of the
/// log must be known within a second of its end.
constexpr std::chrono::milliseconds RetryDelay{200};
/// A host that others ask reads the list this number of times as often, since what it tells is as old as its last read.
constexpr int ReaderReadsPerInterval = 2;
/// Number of answers of a reader within the bound on the revocation of API keys.
constexpr int AnswersPerRevocationDelay = 5;

}

UpstreamFollower::UpstreamFollower(GatewayContext &context, LogRelay &relay)
    : m_context(context)
    , m_relay(relay)
    , m_read([this] { return read(); })
{
}

net::awaitable<void> UpstreamFollower::run()
{
    while (true) {
        const bool succeeded = co_await m_read.run();
        if (m_position || !succeeded) {
            co_await pause(delayAfter(succeeded));
        }
    }
}

net::awaitable<bool> UpstreamFollower::refresh()
{
    m_ownReadNeeded = true;
    bool succeeded = co_await m_read.run();
    if (succeeded && !m_position) { // The log had lost its history.
        succeeded = co_await m_read.run();
    }
    co_return succeeded;
}

net::awaitable<bool> UpstreamFollower::read()
{
    const TimePoint startedAt = hostNow();
    // After a time without reads, as after a suspension, the position may be of a log that has been restored since.
    const bool mayAsk = m_position && !m_ownReadNeeded && m_context.listAvailability.reachableFor(startedAt) && m_relay.hasReader(startedAt);
    m_ownReadNeeded = false;
    if (mayAsk) {
        const bool told = co_await readThroughRelay();
        if (told) {
            co_return true;
        }
    }
    ports::LogFailure failure;
    bool succeeded = false;
    if (m_position) {
        succeeded = co_await readNext(failure);
    } else {
        succeeded = co_await readNewest(failure);
    }
    updateReachable(succeeded, failure.detail);
    dropMissingEntries();
    noteVersions(hostNow());
    if (succeeded && m_position) {
        m_context.runContinuity.noteListRead(startedAt);
        m_relay.noteListRead(startedAt);
    }
    co_return succeeded;
}

net::awaitable<bool> UpstreamFollower::readThroughRelay()
{
    while (true) {
        const std::optional<LogRelay::Answer> answer = co_await m_relay.ask(*m_position);
        if (!answer) {
            m_context.metrics.count("rosemaryshift_relay_total", R"(event="not_told")");
            co_return false;
        }
        const relay::Answer &content = answer->content;
        const TimePoint now = hostNow();
        if (content.confirmedAge) {
            m_context.configuration.confirm(content.configuration, answer->askedAt - *content.confirmedAge);
        }
        updateReachable(true, {});
        for (const relay::Change &change : content.changes.changes) {
            applyRecord({change.key, change.value, change.offset}, now);
            m_relay.changes().note(change); // This host may be asked later.
        }
        m_position = ports::LogPosition{content.changes.next.offset, content.changes.next.era ? content.changes.next.era : m_position->era};
        m_relay.changes().advance(*m_position);
        dropMissingEntries();
        noteVersions(now);
        m_context.metrics.count("rosemaryshift_relay_total", R"(event="told")");
        if (!content.changes.more) {
            m_context.runContinuity.noteListRead(answer->askedAt - *content.listAge);
            co_return true;
        }
    }
}

void UpstreamFollower::noteVersions(TimePoint now)
{
    for (const auto &[instance, upstream] : m_context.directory.all()) {
        m_context.softwareVersions.noteListed({upstream.entry.service, upstream.entry.softwareVersion}, now);
    }
}

std::chrono::milliseconds UpstreamFollower::delayAfter(bool succeeded) const
{
    if (!succeeded) {
        return RetryDelay;
    }
    std::chrono::milliseconds time = std::chrono::ceil<std::chrono::milliseconds>(m_context.listReadInterval);
    if (m_relay.isReader()) {
        time /= ReaderReadsPerInterval;
    } else if (m_relay.hasReader(hostNow())) {
        time = std::min(time, m_context.settings.maxRevocationDelay / AnswersPerRevocationDelay); // The answers also confirm the configuration.
    }
    if (const std::optional<TimePoint> settlesAt = m_context.listAvailability.settlesAt()) {
        time = std::min(time, std::chrono::ceil<std::chrono::milliseconds>(std::max(*settlesAt - hostNow(), Duration::zero())));
    }
    return time;
}

void UpstreamFollower::dropMissingEntries()
{
    const TimePoint now = hostNow();
    const std::optional<TimePoint> settlesAt = m_context.listAvailability.settlesAt();
    if (!settlesAt || now < *settlesAt || m_context.listAvailability.unreachable()) {
        return;
    }
    m_context.directory.settle(now);
    m_context.listAvailability.noteSettled();
}

bool UpstreamFollower::listRead() const
{
    return m_newestReads > 0;
}

std::uint64_t UpstreamFollower::newestReads() const
{
    return m_newestReads;
}

net::awaitable<bool> UpstreamFollower::readNewest(ports::LogFailure &failure)
{
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::Upstreams, ResponseTimeout, failure);
    if (!newest) {
        co_return false;
    }
    updateReachable(true, {});
    std::vector<directory::UpstreamEntry> entries;
    for (const ports::Record &record : newest->records) {
        if (const std::optional<directory::UpstreamEntry> entry = parseEntry(record)) {
            entries.push_back(*entry);
        }
    }
    const TimePoint now = hostNow();
    m_context.directory.applyAll(entries, now, m_context.listAvailability.unsettled(now));
    m_context.softwareVersions.noteUnobserved(now);
    m_position = newest->end;
    m_relay.changes().reset(newest->end);
    ++m_newestReads;
    co_return true;
}

net::awaitable<bool> UpstreamFollower::readNext(ports::LogFailure &failure)
{
    while (true) {
        const std::optional<ports::RecordBatch> batch
            = co_await m_context.ports.platformLog->readFrom(ports::Topic::Upstreams, *m_position, std::chrono::milliseconds::zero(), ResponseTimeout, failure);
        if (!batch) {
            co_return false;
        }
        updateReachable(true, {});
        if (batch->historyLost) {
            m_context.eventLog.write(
                "history_lost", eventlog::Importance::StateChange, {{"topic", "upstreams"}, {"offset", static_cast<std::int64_t>(m_position->offset)}});
            m_position.reset();
            co_return true;
        }
        const TimePoint now = hostNow();
        for (const ports::Record &record : batch->records) {
            if (applyRecord(record, now)) {
                m_relay.changes().note({record.key, record.value, record.offset});
            }
        }
        const bool progressed = batch->next.offset > m_position->offset;
        m_position = batch->next;
        m_relay.changes().advance(batch->next);
        // Only a read up to the end of the log shows which upstreams are listed now.
        if (batch->next.offset >= batch->endOffset || !progressed) {
            co_return true;
        }
    }
}

bool UpstreamFollower::applyRecord(const ports::Record &record, TimePoint now)
{
    if (!record.value) {
        m_context.directory.remove(record.key, now, m_context.listAvailability.unsettled(now));
        return true;
    }
    const std::optional<directory::UpstreamEntry> entry = parseEntry(record);
    if (!entry) {
        return false;
    }
    const directory::Upstream *const known = m_context.directory.find(entry->instance);
    const bool changed = known == nullptr || known->entry != *entry || known->lapsedAt;
    m_context.softwareVersions.noteListed({entry->service, entry->softwareVersion}, now); // It may be gone again by the end of the batch.
    m_context.directory.apply(*entry, now);
    return changed;
}

std::optional<directory::UpstreamEntry> UpstreamFollower::parseEntry(const ports::Record &record) const
{
    std::string reason = "no value";
    std::optional<directory::UpstreamEntry> entry;
    if (record.value) {
        entry = m_context.ports.platformCodec->upstreamEntry(record, reason);
    }
    if (!entry) {
        m_context.eventLog.write("upstream_unreadable", eventlog::Importance::StateChange, {{"instance", record.key}, {"reason", reason}});
    }
    return entry;
}

void UpstreamFollower::updateReachable(bool reachable, std::string_view reason)
{
    const TimePoint now = hostNow();
    if (!reachable) {
        if (m_context.listAvailability.noteFailure(now)) {
            m_context.eventLog.write("log_lost", eventlog::Importance::StateChange, {{"topic", "upstreams"}, {"reason", reason}});
        }
        return;
    }
    if (const std::optional<Duration> lostFor = m_context.listAvailability.noteRead(now)) {
        m_context.eventLog.write("log_regained", eventlog::Importance::StateChange, {{"topic", "upstreams"}, {"lost_ms", wholeMilliseconds(*lostFor)}});
    }
}

}
