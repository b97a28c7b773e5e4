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
    noteOwnClaim(began);
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
    next.recentHolders = recentHolders(now);
    ++next.renewal;
    return next;
}

std::optional<DutyRecord> DutyLease::claim(TimePoint now, std::uint64_t currentWindow) const
{
    const bool abandoned = now - *m_changedAt >= scaled(m_lease, AbandonedFactor);
    if (!abandoned && !isFree(now)) {
        return std::nullopt;
    }
    DutyRecord next;
    next.holder = m_host;
    next.start = m_start;
    next.fence = nextFence();
    next.era = m_end.era;
    next.recentHolders = holdersBeforeClaim(abandoned);
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

bool DutyLease::isFree(TimePoint now) const
{
    if (!isRecordCurrent()) {
        return mayAct(now);
    }
    // An earlier run of this host's process has ended, so that its lease can be taken over.
    if (!m_record || m_record->holder == m_host) {
        return true;
    }
    const std::vector<std::string> &recent = m_record->recentHolders;
    return m_record->holder.empty() && (recent.empty() || recent.back() == m_host || std::ranges::find(recent, m_host) == recent.end());
}

std::vector<std::string> DutyLease::holdersBeforeClaim(bool abandoned) const
{
    const std::optional<DutyRecord> &before = isRecordCurrent() || abandoned ? m_record : m_lastAppended;
    if (!before) {
        return {};
    }
    // The holder of an abandoned lease may have acted after its last renewal, less than a lease duration ago; those before it acted earlier than that renewal.
    std::vector<std::string> holders = abandoned ? std::vector<std::string>() : before->recentHolders;
    if (!before->holder.empty()) {
        holders.push_back(before->holder);
    }
    std::erase(holders, m_host);
    return holders;
}

std::vector<std::string> DutyLease::recentHolders(TimePoint now) const
{
    return now - m_claimBegan < m_lease ? m_record->recentHolders : std::vector<std::string>();
}

void DutyLease::noteOwnClaim(TimePoint began)
{
    if (isOwnRecord() && m_record->fence != m_claimedFence) {
        m_claimedFence = m_record->fence;
        m_claimBegan = began;
    }
}

std::uint64_t DutyLease::nextFence() const
{
    // The append succeeds only at this end offset, so that no other claim of the same era can use the same token. As long as the log was never restored,
    // the upper half is that of the first claim, since hosts of earlier software versions count by the offset alone.
    const std::uint64_t upper = m_record && isRecordCurrent() ? m_record->fence >> FenceEraShift : m_end.era.value_or(0);
    const std::uint64_t fence = (upper << FenceEraShift) + m_end.offset + 1;
    return m_record ? std::max(fence, m_record->fence + 1) : fence;
}

std::optional<DutyRecord> DutyLease::release(TimePoint now)
{
    if (!isOwnRecord() || !isRecordCurrent() || !mayAct(now)) {
        return std::nullopt;
    }
    m_releasing = true;
    DutyRecord next = *m_record;
    next.holder.clear();
    next.recentHolders = recentHolders(now);
    next.recentHolders.push_back(m_host);
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
    noteOwnClaim(began);
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
    return isOwnRecord() && isRecordCurrent() && mayAct(now) && !m_releasing;
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
