#include "gateway/internal/suspectlog.h"

#include "base/json.h"
#include "base/text.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace net = boost::asio;

using quarantine::SuspectId;
using quarantine::SuspectKind;

namespace {

/// Timeout of a call to the log.
constexpr std::chrono::milliseconds CallTimeout{700};
/// Beginnings of the keys of records; the number of the suspect, or the name of the host, follows.
constexpr std::string_view PartKeyPrefix = "part/";
constexpr std::string_view RequestKeyPrefix = "request/";
constexpr std::string_view HostKeyPrefix = "host/";
/// Time of writing, in milliseconds since the Unix epoch.
constexpr const char *WrittenAtMember = "written_at_ms";

std::string keyOf(SuspectId suspect)
{
    return std::string(suspect.kind == SuspectKind::Request ? RequestKeyPrefix : PartKeyPrefix) + hexadecimal(suspect.number);
}

}

SuspectLog::SuspectLog(GatewayContext &context)
    : m_context(context)
{
}

std::int64_t SuspectLog::wallMs(TimePoint now) const
{
    return wholeMilliseconds(m_context.wallClock.sinceEpoch(now));
}

net::awaitable<std::optional<SuspectLog::Contents>> SuspectLog::read()
{
    ports::LogFailure failure;
    const std::optional<ports::NewestRecords> newest = co_await m_context.ports.platformLog->readNewest(ports::Topic::Suspects, CallTimeout, failure);
    if (!newest) {
        m_context.eventLog.write("suspects_not_read", eventlog::Importance::Failure, {{"reason", failure.detail}});
        co_return std::nullopt;
    }
    Contents contents;
    contents.endOffset = newest->end.offset;
    const std::int64_t nowMs = wallMs(hostNow());
    for (const ports::Record &record : newest->records) {
        std::string reason;
        const std::optional<Json::Value> value = parseJson(record.value.value_or(""), reason);
        const std::optional<std::uint64_t> writtenMs = value && value->isObject() ? unsignedMember(*value, WrittenAtMember) : std::nullopt;
        if (!writtenMs) {
            continue;
        }
        const Duration age = std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - static_cast<std::int64_t>(*writtenMs)));
        if (std::optional<quarantine::VerdictRecord> verdict = quarantine::verdictRecord(*value)) {
            const SuspectId suspect = verdict->report.id;
            contents.verdicts.insert_or_assign(suspect, Verdict{std::move(*verdict), age});
        } else if (std::optional<quarantine::EvidenceRecord> evidence = quarantine::evidenceRecord(*value)) {
            contents.evidence.push_back({std::move(*evidence), age});
        }
    }
    co_return contents;
}

net::awaitable<std::optional<ports::AppendOutcome>> SuspectLog::appendVerdict(SuspectId suspect, std::optional<std::uint64_t> expectedEnd)
{
    const TimePoint now = hostNow();
    ports::Record record{keyOf(suspect), std::nullopt};
    if (const std::optional<quarantine::VerdictRecord> verdict = m_context.quarantine.verdict(suspect, now)) {
        Json::Value value = quarantine::toJson(*verdict);
        value[WrittenAtMember] = wallMs(now);
        record.value = toText(value);
    }
    return append(std::move(record), expectedEnd);
}

net::awaitable<bool> SuspectLog::appendEvidence(quarantine::EvidenceRecord evidence)
{
    ports::Record record{std::string(HostKeyPrefix) + m_context.settings.name, std::nullopt};
    if (!evidence.suspects.empty()) {
        Json::Value value = quarantine::toJson(evidence);
        value[WrittenAtMember] = wallMs(hostNow());
        record.value = toText(value);
    }
    const std::optional<ports::AppendOutcome> outcome = co_await append(std::move(record), std::nullopt);
    co_return outcome.has_value();
}

net::awaitable<std::optional<ports::AppendOutcome>> SuspectLog::append(ports::Record record, std::optional<std::uint64_t> expectedEnd)
{
    const std::string key = record.key;
    ports::LogFailure failure;
    const std::optional<ports::AppendResult> result
        = co_await m_context.ports.platformLog->append(ports::Topic::Suspects, std::move(record), expectedEnd, CallTimeout, failure);
    if (!result) {
        m_context.eventLog.write("suspect_not_recorded", eventlog::Importance::Failure, {{"key", key}, {"reason", failure.detail}});
        co_return std::nullopt;
    }
    co_return result->outcome;
}

}
