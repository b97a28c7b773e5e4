#include "duties/dutylease.h"

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

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(duration) * factor);
}

}

DutyLease::DutyLease(std::string host, std::string start, Duration lease)
    : m_host(std::move(host))
    , m_start(std::move(start))
    , m_lease(lease)
{
}

void DutyLease::observe(std::optional<DutyRecord> record, std::uint64_t end, TimePoint began)
{
    m_readRequired = false;
    m_lastReadBegan = began;
    if (!m_changedAt || record != m_record || end != m_end) {
        m_changedAt = began;
    }
    m_record = std::move(record);
    m_end = end;
    if (!isOwnRecord()) {
        m_renewalBegan.reset();
    }
}

std::optional<DutyRecord> DutyLease::proposal(TimePoint now, const std::vector<ports::UsageReport> &decided) const
{
    if (m_readRequired || !m_changedAt) {
        return std::nullopt;
    }
    DutyRecord next;
    next.holder = m_host;
    next.start = m_start;
    next.decided = decided;
    if (m_record && isOwnRecord()) {
        const bool decidedChanged = decided != m_record->decided;
        if (!decidedChanged && m_renewalBegan && now - *m_renewalBegan < scaled(m_lease, RenewalFraction)) {
            return std::nullopt;
        }
        next.fence = m_record->fence;
        next.renewal = m_record->renewal + 1;
        return next;
    }
    // An earlier run of this host's process has ended, so that its lease can be taken over at once.
    const bool ownEarlierRun = m_record && m_record->holder == m_host;
    const bool released = m_record && m_record->holder.empty();
    if (m_record && !ownEarlierRun && !released && now - *m_changedAt < scaled(m_lease, AbandonedFactor)) {
        return std::nullopt;
    }
    // The append succeeds only at this end offset, so that no other claim can use the same fencing token.
    next.fence = m_end + 1;
    next.decided = m_record ? m_record->decided : decided;
    return next;
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

void DutyLease::noteAppended(const DutyRecord &record, TimePoint began)
{
    m_record = record;
    ++m_end;
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
    return isOwnRecord() && m_renewalBegan && now - *m_renewalBegan < scaled(m_lease, ActingFraction);
}

std::uint64_t DutyLease::fence() const
{
    return m_record ? m_record->fence : 0;
}

const std::optional<DutyRecord> &DutyLease::record() const
{
    return m_record;
}

std::uint64_t DutyLease::end() const
{
    return m_end;
}

bool DutyLease::isOwnRecord() const
{
    return m_record && m_record->holder == m_host && m_record->start == m_start;
}

}
