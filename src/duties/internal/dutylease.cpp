#include "duties/dutylease.h"

#include <algorithm>

namespace rosemaryshift::duties {

namespace {

/// Fraction of the lease duration, counted from the beginning of a renewal, in which the holder may act.
constexpr double ActingFraction = 0.6;
/// Fraction of the lease duration after which the holder renews the lease.
constexpr double RenewalFraction = 0.25;
/// Multiple of the lease duration after which an unchanged record counts as abandoned. Above 1, so that the duties return to a previous holder
/// no sooner than one lease duration after another host acted.
constexpr double AbandonedFactor = 1.15;
/// Interval at which a host that does not hold the duties reads the record, as a fraction of the lease duration.
constexpr double ReadFraction = 0.4;
/// Position of the era in a fencing token. Tokens of two million eras fit into the 53 bits that are exact in every JSON reader.
constexpr unsigned FenceEraShift = 32;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
}

}

DutyLease::DutyLease(std::string host, std::string start, Duration lease, bool firstStart)
    : m_host(std::move(host))
    , m_start(std::move(start))
    , m_lease(lease)
    , m_firstStart(firstStart)
{
}

void DutyLease::observe(std::optional<DutyRecord> record, ports::LogPosition end, TimePoint began)
{
    m_readRequired = false;
    m_lastReadBegan = began;
    const bool eraRose = m_changedAt && end.era > m_end.era;
    m_restored = m_restored || eraRose;
    if (!m_changedAt || record != m_record || end != m_end) {
        m_changedAt = began;
    }
    m_record = std::move(record);
    m_end = end;
    // A restored log may show an earlier holder, though nobody has claimed the duties since this host last renewed its lease.
    if (!isOwnRecord() && !eraRose) {
        m_renewalBegan.reset();
    }
}

std::optional<DutyRecord> DutyLease::proposal(TimePoint now, const std::vector<ports::UsageReport> &decided, std::uint64_t currentWindow) const
{
    if (m_readRequired || !m_changedAt) {
        return std::nullopt;
    }
    return isOwnRecord() && isRecordCurrent() ? renewal(now, decided) : claim(now, currentWindow);
}

std::optional<DutyRecord> DutyLease::renewal(TimePoint now, const std::vector<ports::UsageReport> &decided) const
{
    const bool decidedChanged = decided != m_record->decided;
    if (!decidedChanged && m_renewalBegan && now - *m_renewalBegan < scaled(m_lease, RenewalFraction)) {
        return std::nullopt;
    }
    DutyRecord next = *m_record;
    next.decided = decided;
    ++next.renewal;
    return next;
}

std::optional<DutyRecord> DutyLease::claim(TimePoint now, std::uint64_t currentWindow) const
{
    // An earlier run of this host's process has ended, so that its lease can be taken over at once.
    const bool isFree = isRecordCurrent() ? !m_record || m_record->holder == m_host || m_record->holder.empty() : mayAct(now);
    if (!isFree && now - *m_changedAt < scaled(m_lease, AbandonedFactor)) {
        return std::nullopt;
    }
    DutyRecord next;
    next.holder = m_host;
    next.start = m_start;
    next.fence = nextFence();
    next.era = m_end.era;
    // Only the host that held the duties until the log was restored knows what was decided; the restored record may lack it.
    const std::optional<DutyRecord> &before = isRecordCurrent() ? m_record : m_lastAppended;
    if (before && (isRecordCurrent() || mayAct(now))) {
        next.decided = before->decided;
        next.firstWindow = before->firstWindow;
    } else if (!isRecordCurrent()) {
        next.firstWindow = currentWindow + 1; // The present one, too, since the clocks of hosts differ.
    }
    return next;
}

std::uint64_t DutyLease::nextFence() const
{
    // The append succeeds only at this end offset, so that no other claim of the same era can use the same token. As long as the log was never restored,
    // the upper half is that of the first claim, since hosts of earlier software versions count by the offset alone.
    const std::uint64_t upper = m_record && isRecordCurrent() ? m_record->fence >> FenceEraShift : m_end.era.value_or(0);
    const std::uint64_t fence = (upper << FenceEraShift) + m_end.offset + 1;
    return m_record ? std::max(fence, m_record->fence + 1) : fence;
}

std::optional<DutyRecord> DutyLease::release(TimePoint now) const
{
    if (!holds(now)) {
        return std::nullopt;
    }
    DutyRecord next = *m_record;
    next.holder.clear();
    ++next.renewal;
    return next;
}

void DutyLease::noteAppended(const DutyRecord &record, TimePoint began, ports::LogEra era)
{
    if (era && era != m_end.era) {
        requireRead();
        return;
    }
    m_record = record;
    m_lastAppended = record;
    ++m_end.offset;
    m_changedAt = began;
    m_renewalBegan = began;
}

void DutyLease::requireRead()
{
    m_readRequired = true;
}

bool DutyLease::needsRead(TimePoint now, bool holderHeard) const
{
    const bool stale = !m_lastReadBegan || now - *m_lastReadBegan >= scaled(m_lease, ReadFraction);
    return !m_lastReadBegan || (!holderHeard && (m_readRequired || (!isOwnRecord() && stale)));
}

bool DutyLease::holds(TimePoint now) const
{
    return isOwnRecord() && isRecordCurrent() && mayAct(now);
}

std::uint64_t DutyLease::fence() const
{
    return m_record ? m_record->fence : 0;
}

const std::optional<DutyRecord> &DutyLease::record() const
{
    return m_record;
}

ports::LogPosition DutyLease::end() const
{
    return m_end;
}

bool DutyLease::mayAct(TimePoint now) const
{
    return m_renewalBegan && now - *m_renewalBegan < scaled(m_lease, ActingFraction);
}

bool DutyLease::isRecordCurrent() const
{
    if (!m_record) {
        return !m_end.era || (m_firstStart && !m_restored); // A log that was restored to before the first record looks like one that never had any.
    }
    return m_record->era ? m_record->era == m_end.era : !m_restored;
}

bool DutyLease::isOwnRecord() const
{
    return m_record && m_record->holder == m_host && m_record->start == m_start;
}

}
