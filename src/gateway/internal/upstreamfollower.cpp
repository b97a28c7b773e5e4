#include "gateway/internal/upstreamfollower.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

namespace {

constexpr std::chrono::milliseconds CallTimeout{700};
/// Reads in the time within which a leaving upstream must get nothing new.
constexpr int ReadsPerLeavingTime = 3;
/// Pause after a read that failed, so that what changed during an outage is known within a second of its end.
constexpr std::chrono::milliseconds FailurePause{200};

}

UpstreamFollower::UpstreamFollower(GatewayContext &context)
    : m_context(context)
{
}

net::awaitable<void> UpstreamFollower::run()
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
        settle();
        if (m_offset || !done) {
            co_await pause(pauseAfter(done));
        }
    }
}

std::chrono::milliseconds UpstreamFollower::pauseAfter(bool done) const
{
    if (!done) {
        return FailurePause;
    }
    std::chrono::milliseconds time = m_context.settings.maxLeavingDelay / ReadsPerLeavingTime;
    if (const std::optional<TimePoint> settles = m_context.listReach.settlesAt()) {
        time = std::min(time, std::chrono::ceil<std::chrono::milliseconds>(std::max(*settles - hostNow(), Duration::zero())));
    }
    return time;
}

void UpstreamFollower::settle()
{
    const TimePoint now = hostNow();
    const std::optional<TimePoint> settles = m_context.listReach.settlesAt();
    if (!settles || now < *settles || m_context.listReach.lost()) {
        return;
    }
    m_context.directory.settle(now);
    m_context.listReach.noteSettled();
}

bool UpstreamFollower::known() const
{
    return m_known;
}

net::awaitable<bool> UpstreamFollower::readNewest(ports::LogFailure &failure)
{
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::Upstreams, CallTimeout, failure);
    if (!newest) {
        co_return false;
    }
    noteReachable(true, {});
    std::vector<directory::UpstreamEntry> entries;
    for (const ports::Record &record : newest->records) {
        if (const std::optional<directory::UpstreamEntry> entry = entryOf(record)) {
            entries.push_back(*entry);
        }
    }
    const TimePoint now = hostNow();
    m_context.directory.applyAll(entries, now, m_context.listReach.unsettled(now));
    m_offset = newest->endOffset;
    m_known = true;
    co_return true;
}

net::awaitable<bool> UpstreamFollower::readOn(ports::LogFailure &failure)
{
    const std::optional<ports::RecordBatch> batch
        = co_await m_context.ports.platformLog->readFrom(ports::Topic::Upstreams, *m_offset, std::chrono::milliseconds::zero(), CallTimeout, failure);
    if (!batch) {
        co_return false;
    }
    noteReachable(true, {});
    if (batch->historyLost) {
        m_context.eventLog.write("history_lost", eventlog::Importance::Belief, {{"topic", "upstreams"}, {"offset", static_cast<std::int64_t>(*m_offset)}});
        m_offset.reset();
        co_return true;
    }
    const TimePoint now = hostNow();
    for (const ports::Record &record : batch->records) {
        if (!record.value) {
            m_context.directory.remove(record.key, now, m_context.listReach.unsettled(now));
        } else if (const std::optional<directory::UpstreamEntry> entry = entryOf(record)) {
            m_context.directory.apply(*entry, now);
        }
    }
    m_offset = batch->nextOffset;
    co_return true;
}

std::optional<directory::UpstreamEntry> UpstreamFollower::entryOf(const ports::Record &record) const
{
    std::string reason = "no value";
    std::optional<directory::UpstreamEntry> entry;
    if (record.value) {
        entry = m_context.ports.platformCodec->upstreamEntry(record, reason);
    }
    if (!entry) {
        m_context.eventLog.write("upstream_unreadable", eventlog::Importance::Belief, {{"instance", record.key}, {"reason", reason}});
    }
    return entry;
}

void UpstreamFollower::noteReachable(bool reachable, std::string_view reason)
{
    const TimePoint now = hostNow();
    if (!reachable) {
        if (m_context.listReach.noteFailure(now)) {
            m_context.eventLog.write("log_lost", eventlog::Importance::Belief, {{"topic", "upstreams"}, {"reason", reason}});
        }
        return;
    }
    if (const std::optional<Duration> lost = m_context.listReach.noteRead(now)) {
        m_context.eventLog.write("log_regained", eventlog::Importance::Belief, {{"topic", "upstreams"}, {"lost_ms", wholeMilliseconds(*lost)}});
    }
}

}
