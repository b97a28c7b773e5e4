#include "gateway/internal/suspectrecorder.h"

#include "gateway/internal/backgroundtask.h"
#include "gateway/internal/hostclock.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace rosemaryshift::gateway {

namespace net = boost::asio;

using quarantine::SuspectId;

namespace {

/// Delay before a failed call is repeated.
constexpr std::chrono::milliseconds RetryDelay{200};
/// Interval at which the records are compared with what is known.
constexpr std::chrono::seconds CheckInterval{1};
/// Time in which the breaks of one crash arrive.
constexpr std::chrono::milliseconds CrashSettleTime{20};
/// Time after which evidence that complete answers have cleared is removed from the record.
constexpr std::chrono::seconds ClearingDelay{5};
/// Least interval between two records of a host's evidence, and for each known host.
constexpr std::chrono::milliseconds ShortestWriteInterval{100};
constexpr std::chrono::milliseconds WriteIntervalPerHost{10};
/// Time after which a host that has not seen the crashes of a suspect itself writes its verdict, if none has.
constexpr std::chrono::seconds BystanderDelay{1};
/// Trials of a suspect are at least this far apart.
constexpr std::chrono::seconds TrialSpacing{15};
/// Times that a trial is recorded anew after another record was appended meanwhile.
constexpr int MaxTrialAppends = 3;

/// Rises with each crash of a suspect in quarantine, so that records of several hosts can be compared.
std::uint64_t progressOf(const quarantine::VerdictRecord &verdict)
{
    return verdict.report.crashes.size() + verdict.failedTrials;
}

}

SuspectRecorder::SuspectRecorder(GatewayContext &context, const net::any_io_executor &executor)
    : m_context(context)
    , m_log(context)
    , m_reader([this] { return readAll(); })
    , m_wakeup(executor)
{
}

net::awaitable<void> SuspectRecorder::run()
{
    while (!m_recordsRead) {
        const bool succeeded = co_await m_reader.run();
        if (!succeeded) {
            co_await pause(RetryDelay);
        }
    }
    while (true) {
        const TimePoint now = hostNow();
        noteRestoredLog(now);
        schedule(now);
        co_await write(now);
        TimePoint next = hostNow() + CheckInterval;
        next = std::min(next, m_evidenceDue.value_or(next));
        for (const auto &[suspect, due] : m_due) {
            next = std::min(next, due);
        }
        m_wakeup.expires_after(std::max<Duration>(next - hostNow(), std::chrono::milliseconds(1)));
        co_await m_wakeup.async_wait(net::as_tuple(net::use_awaitable));
    }
}

bool SuspectRecorder::recordsRead() const
{
    return m_recordsRead;
}

net::awaitable<bool> SuspectRecorder::awaitRecords()
{
    if (!m_recordsRead) {
        co_await m_reader.run();
    }
    co_return m_recordsRead;
}

void SuspectRecorder::noteCrash()
{
    const TimePoint due = std::max<TimePoint>(hostNow() + CrashSettleTime, m_evidenceWrittenAt + writeInterval());
    m_evidenceDue = std::min(m_evidenceDue.value_or(due), due);
    m_wakeup.cancel();
}

void SuspectRecorder::noteVerdict(SuspectId suspect)
{
    const bool observer = m_context.quarantine.observedCrash(suspect);
    const TimePoint now = hostNow();
    m_due[suspect] = observer ? now : now + BystanderDelay + std::chrono::duration_cast<Duration>(writeInterval() * m_context.randomFraction());
    m_wakeup.cancel();
}

Duration SuspectRecorder::writeInterval() const
{
    return std::max<Duration>(ShortestWriteInterval, WriteIntervalPerHost * static_cast<int>(m_context.hostCount));
}

void SuspectRecorder::noteRestoredLog(TimePoint now)
{
    if (m_notedRises == m_context.logEra.rises()) {
        return;
    }
    m_notedRises = m_context.logEra.rises();
    const Duration delay = std::chrono::duration_cast<Duration>(writeInterval() * m_context.randomFraction()); // All hosts notice it within the same moment.
    m_recorded.clear();
    m_evidenceDue = now + delay;
    for (const SuspectId suspect : m_context.quarantine.suspectsInQuarantine()) {
        m_due[suspect] = now + delay;
    }
}

void SuspectRecorder::schedule(TimePoint now)
{
    for (const SuspectId suspect : m_context.quarantine.suspectsInQuarantine()) {
        const std::optional<quarantine::VerdictRecord> verdict = m_context.quarantine.verdict(suspect, now);
        const auto recorded = m_recorded.find(suspect);
        if (!m_due.contains(suspect) && (recorded == m_recorded.end() || recorded->second < progressOf(*verdict))) {
            noteVerdict(suspect);
        }
    }
    for (const auto &[suspect, progress] : m_recorded) {
        if (!m_due.contains(suspect) && !m_context.quarantine.verdict(suspect, now)) {
            noteVerdict(suspect); // It was released while its record was being written.
        }
    }
    if (m_evidenceDue || m_recordedEvidence.empty()) {
        return;
    }
    const quarantine::EvidenceRecord evidence = m_context.quarantine.evidence(now);
    const bool cleared = std::ranges::any_of(m_recordedEvidence, [&evidence](SuspectId suspect) {
        return std::ranges::find(evidence.suspects, suspect, &quarantine::SuspectReport::id) == evidence.suspects.end();
    });
    if (cleared) {
        m_evidenceDue = std::max<TimePoint>(m_evidenceWrittenAt + ClearingDelay, now);
    }
}

net::awaitable<void> SuspectRecorder::write(TimePoint now)
{
    std::vector<SuspectId> observed;
    std::vector<SuspectId> heard;
    for (const auto &[suspect, due] : m_due) {
        if (due <= now) {
            (m_context.quarantine.observedCrash(suspect) ? observed : heard).push_back(suspect);
        }
    }
    const bool observedWritten = co_await writeVerdicts(observed, true);
    const bool heardWritten = co_await writeVerdicts(heard, false);
    bool evidenceWritten = true;
    if (m_evidenceDue && *m_evidenceDue <= now) {
        m_evidenceDue.reset();
        evidenceWritten = co_await writeEvidence(now);
    }
    if (!evidenceWritten) {
        m_evidenceDue = hostNow() + RetryDelay;
    }
    if (!observedWritten || !heardWritten) {
        co_await pause(RetryDelay);
    }
}

net::awaitable<bool> SuspectRecorder::writeEvidence(TimePoint now)
{
    const quarantine::EvidenceRecord evidence = m_context.quarantine.evidence(now);
    m_evidenceWrittenAt = now;
    if (evidence.suspects.empty() && m_recordedEvidence.empty()) {
        co_return true;
    }
    const bool appended = co_await m_log.appendEvidence(evidence);
    if (!appended) {
        co_return false;
    }
    m_recordedEvidence.clear();
    for (const quarantine::SuspectReport &suspect : evidence.suspects) {
        m_recordedEvidence.insert(suspect.id);
    }
    co_return true;
}

net::awaitable<bool> SuspectRecorder::writeVerdicts(std::vector<SuspectId> suspects, bool observer)
{
    if (suspects.empty()) {
        co_return true;
    }
    std::optional<SuspectLog::Contents> contents;
    if (!observer) {
        contents = co_await m_log.read();
        if (!contents) {
            co_return false;
        }
    }
    for (const SuspectId suspect : suspects) {
        const std::optional<quarantine::VerdictRecord> verdict = m_context.quarantine.verdict(suspect, hostNow());
        bool upToDate = false;
        if (contents) {
            const auto stored = contents->verdicts.find(suspect);
            const bool isStored = stored != contents->verdicts.end();
            upToDate = verdict ? isStored && progressOf(stored->second.record) >= progressOf(*verdict) : !isStored;
        }
        if (!upToDate) {
            const std::optional<ports::AppendOutcome> outcome = co_await m_log.appendVerdict(suspect, std::nullopt);
            if (!outcome) {
                co_return false;
            }
        }
        m_due.erase(suspect);
        if (verdict) {
            m_recorded[suspect] = progressOf(*verdict);
        } else {
            m_recorded.erase(suspect);
        }
    }
    co_return true;
}

net::awaitable<bool> SuspectRecorder::readAll()
{
    if (m_recordsRead) {
        co_return true; // Evidence must not be added twice.
    }
    const std::optional<SuspectLog::Contents> contents = co_await m_log.read();
    if (!contents) {
        co_return false;
    }
    const TimePoint now = hostNow();
    for (const auto &[suspect, verdict] : contents->verdicts) {
        m_context.quarantine.restore(verdict.record, verdict.age, now);
    }
    for (const SuspectLog::Evidence &evidence : contents->evidence) {
        m_context.quarantine.restore(evidence.record, evidence.age, now);
    }
    for (const SuspectId suspect : m_context.quarantine.suspectsInQuarantine()) {
        if (const std::optional<quarantine::VerdictRecord> verdict = m_context.quarantine.verdict(suspect, now)) {
            m_recorded[suspect] = progressOf(*verdict);
        }
        m_due.erase(suspect);
    }
    m_recordsRead = true;
    co_return true;
}

net::awaitable<bool> SuspectRecorder::recordTrial(std::vector<SuspectId> suspects)
{
    for (int attempt = 0; attempt < MaxTrialAppends; ++attempt) {
        const std::optional<SuspectLog::Contents> contents = co_await m_log.read();
        if (!contents) {
            co_return false;
        }
        std::uint64_t end = contents->endOffset;
        bool conflict = false;
        for (const SuspectId suspect : suspects) {
            const auto stored = contents->verdicts.find(suspect);
            const bool isTried = stored != contents->verdicts.end() && stored->second.record.trialAgeMs
                && std::chrono::milliseconds(*stored->second.record.trialAgeMs) + stored->second.age < TrialSpacing;
            if (isTried) {
                co_return false;
            }
            const std::optional<ports::AppendOutcome> outcome = co_await m_log.appendVerdict(suspect, end);
            if (!outcome) {
                co_return false;
            }
            conflict = outcome == ports::AppendOutcome::Conflict;
            if (conflict) {
                break;
            }
            ++end;
        }
        if (!conflict) {
            co_return true;
        }
    }
    co_return false;
}

}
