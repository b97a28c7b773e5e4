#pragma once

#include "base/types.h"
#include "ports/idutyclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::duties {

/// The record in the log that says who holds the duties, and what must not be decided twice.
struct DutyRecord {
    std::string holder; ///< Name of a host; empty when its last holder has given the duties up.
    std::string start;  ///< Which start of that host's process.
    std::uint64_t fence = 0;
    std::uint64_t renewal = 0;               ///< Grows with each renewal, so that each record differs from the one before.
    std::vector<ports::UsageReport> decided; ///< The last windows whose counts are fixed.

    bool operator==(const DutyRecord &) const = default;
};

/// JSON text of a record. Thread-safe.
std::string encoded(const DutyRecord &record);
/// Reads a record; nothing, with @p reason set, when it is malformed. Thread-safe.
std::optional<DutyRecord> decodedDutyRecord(std::string_view text, std::string &reason);

/// Lease on the duties, held by a conditional append to the log. A holder acts for a part of the lease after it began its last renewal; others
/// claim the duties when the record has not changed for longer than the lease since they saw it. So two never act at a time, whatever their
/// clocks say, as long as the clock that times come from counts suspension. Not thread-safe.
class DutyLease
{
public:
    DutyLease(std::string host, std::string start, Duration lease);

    /// The log's record and end, as read by a call that began at @p began. Nothing: there is no record, or an unreadable one.
    void observe(std::optional<DutyRecord> record, std::uint64_t end, TimePoint began);
    /// The record to append at end() now, to claim or to renew; nothing while there is nothing to do. @p decided: windows to fix with it.
    [[nodiscard]] std::optional<DutyRecord> proposal(TimePoint now, const std::vector<ports::UsageReport> &decided) const;
    /// The record to append at end() to give the duties up; nothing when this host does not hold them.
    [[nodiscard]] std::optional<DutyRecord> release(TimePoint now) const;
    /// The proposed record was appended at end() by a call that began at @p began.
    void noteAppended(const DutyRecord &record, TimePoint began);
    /// Another record came first, or it is not known whether the append was done; the log must be read before the next proposal.
    void requireRead();

    /// Whether the log must be read before anything else. @p holderHeard: another host says that it holds the duties, so that there is nothing
    /// to claim.
    [[nodiscard]] bool needsRead(TimePoint now, bool holderHeard) const;
    /// Whether this host may act on the duties now.
    [[nodiscard]] bool holds(TimePoint now) const;
    /// Fencing token of this holder. Precondition: holds().
    [[nodiscard]] std::uint64_t fence() const;
    /// The record as last seen.
    [[nodiscard]] const std::optional<DutyRecord> &record() const;
    /// Where the log ended when it was last seen.
    [[nodiscard]] std::uint64_t end() const;

private:
    [[nodiscard]] bool own() const;

    const std::string m_host;
    const std::string m_start;
    const Duration m_lease;
    std::optional<DutyRecord> m_record;
    std::uint64_t m_end = 0;
    std::optional<TimePoint> m_changed; ///< When the record was first seen as it is.
    std::optional<TimePoint> m_renewed; ///< When the last renewal that succeeded had begun.
    std::optional<TimePoint> m_read;
    bool m_readRequired = true;
};

}
