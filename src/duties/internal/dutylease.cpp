#include "duties/dutylease.h"

namespace rosemaryshift::duties {

namespace {

/// Part of the lease in which a holder acts after it began a renewal.
constexpr double ActingPart = 0.6;
/// Part of the lease after which a holder renews it.
constexpr double RenewalPart = 0.25;
/// Multiple of the lease after which an unchanged record is taken for abandoned. Longer than the lease, so that the duties return to a
/// holder no sooner than the lease after another one has acted.
constexpr double AbandonedMultiple = 1.15;
/// How often a host that does not hold the duties reads the record, as a part of the lease.
constexpr double ReadPart = 0.4;

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
    m_read = began;
    if (!m_changed || record != m_record || end != m_end) {
        m_changed = began;
    }
    m_record = std::move(record);
    m_end = end;
    if (!own()) {
        m_renewed.reset();
    }
}

std::optional<DutyRecord> DutyLease::proposal(TimePoint now, const std::vector<ports::UsageReport> &decided) const
{
    if (m_readRequired || !m_changed) {
        return std::nullopt;
    }
    DutyRecord next;
    next.holder = m_host;
    next.start = m_start;
    next.decided = decided;
    if (m_record && own()) {
        const bool news = decided != m_record->decided;
        if (!news && m_renewed && now - *m_renewed < scaled(m_lease, RenewalPart)) {
            return std::nullopt;
        }
        next.fence = m_record->fence;
        next.renewal = m_record->renewal + 1;
        return next;
    }
    // An earlier start of this host's own process has ended.
    const bool ownBefore = m_record && m_record->holder == m_host;
    const bool givenUp = m_record && m_record->holder.empty();
    if (m_record && !ownBefore && !givenUp && now - *m_changed < scaled(m_lease, AbandonedMultiple)) {
        return std::nullopt;
    }
    // The append succeeds at this end only, so that no other claim has this fence.
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
    m_changed = began;
    m_renewed = began;
}

void DutyLease::requireRead()
{
    m_readRequired = true;
}

bool DutyLease::needsRead(TimePoint now, bool holderHeard) const
{
    const bool stale = !m_read || now - *m_read >= scaled(m_lease, ReadPart);
    return !m_read || (!holderHeard && (m_readRequired || (!own() && stale)));
}

bool DutyLease::holds(TimePoint now) const
{
    return own() && m_renewed && now - *m_renewed < scaled(m_lease, ActingPart);
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

bool DutyLease::own() const
{
    return m_record && m_record->holder == m_host && m_record->start == m_start;
}

}
