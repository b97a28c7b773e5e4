#pragma once

#include "base/types.h"
#include "ports/idutyclient.h"
#include "ports/iplatformlog.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryshift::duties {

/// The log record that names the current holder of the singleton duties and stores the decisions that a later holder must not change.
struct DutyRecord {
    std::string holder;                      ///< Name of the host that holds the duties; empty after the last holder released them.
    std::string start;                       ///< Identifies one run of the holder's process.
    std::uint64_t fence = 0;                 ///< Fencing token; grows with each claim.
    std::uint64_t renewal = 0;               ///< Grows with each renewal, so that every record differs from the previous one.
    std::vector<ports::UsageReport> decided; ///< Final counts of the most recent usage windows.
    /// Era of the log in which the lease was claimed; nothing when the log states none, or in records of earlier software versions.
    ports::LogEra era = std::nullopt;
    std::uint64_t firstWindow = 0; ///< Usage windows before this one may have been reported by a holder whose records are lost; they are not decided.
    /// Hosts that may have acted within the last lease duration, in the order in which they last acted, without the holder.
    std::vector<std::string> recentHolders = {};

    bool operator==(const DutyRecord &) const = default;
};

/// Encodes a duty record as JSON. Thread-safe.
std::string encoded(const DutyRecord &record);
/// Decodes a duty record from JSON; returns nothing and sets @p reason when it is malformed. Thread-safe.
std::optional<DutyRecord> decodedDutyRecord(std::string_view text, std::string &reason);

/// Lease on the singleton duties, acquired and renewed by conditional appends to the log. The holder acts only for a fraction of the lease
/// duration, counted from the beginning of its last successful renewal. Another host claims the duties once it has seen the record unchanged for
/// longer than the lease duration. Two hosts therefore never act at the same time, even when their clocks disagree, provided that the clock
/// behind TimePoint keeps running while the machine is suspended.
///
/// A released lease is claimed at once, but for hosts that held it shortly before the host that released it: the duties must not return to a host
/// within one lease duration after another one acted.
///
/// A log that was restored from a copy may have lost claims. In each era of the log the lease is claimed anew: by the host that held it until then
/// at once, by others when the lost holder cannot act any more. The fencing token has the era in its upper half, so that it rises where nobody
/// remembers the lost claims. Not thread-safe.
class DutyLease
{
public:
    /// @p start: identifies this run of the process. @p firstStart: the whole system starts for the first time, so that a log without a record has never had
    /// one.
    DutyLease(std::string host, std::string start, Duration lease, bool firstStart = false);

    /// Stores the record and the end of the log, as returned by a read that began at @p began. No @p record means that the log has none
    /// or that it is unreadable.
    void observe(std::optional<DutyRecord> record, ports::LogPosition end, TimePoint began);
    /// The record to append at the offset of end() in order to claim or renew the lease; nothing while neither is due. A renewal makes the
    /// usage counts @p decided final; a claim keeps those of the existing record, or, in a log that has lost records, leaves out all windows up to
    /// @p currentWindow.
    [[nodiscard]] std::optional<DutyRecord> proposal(TimePoint now, const std::vector<ports::UsageReport> &decided, std::uint64_t currentWindow) const;
    /// Gives up the lease for good. Returns the record to append at the offset of end(); nothing when this host does not hold the lease. It does not act from
    /// now on, since it may never learn that the record was appended; until then it may call this again.
    [[nodiscard]] std::optional<DutyRecord> release(TimePoint now);
    /// Notes that the proposed record was appended at the offset of end() by a call that began at @p began, and that the log stated @p era with its
    /// answer. In another era than that of end() the record gives no lease, and the log must be read.
    void noteAppended(const DutyRecord &record, TimePoint began, ports::LogEra era);
    /// Requires a read of the log before the next proposal: another record was appended first, or the outcome of the append is unknown.
    void requireRead();

    /// Whether the log must be read before the next proposal. When @p holderHeard is set, a peer reports that it holds the duties, and only the
    /// first read is needed, since there is nothing to claim.
    [[nodiscard]] bool needsRead(TimePoint now, bool holderHeard) const;
    /// Whether this host holds the lease and may perform the duties at @p now.
    [[nodiscard]] bool holds(TimePoint now) const;
    /// Fencing token to send with calls made under the lease. Precondition: holds().
    [[nodiscard]] std::uint64_t fence() const;
    /// The duty record as last read or appended; nothing when there is none.
    [[nodiscard]] const std::optional<DutyRecord> &record() const;
    /// End of the log as last read or after the last append.
    [[nodiscard]] ports::LogPosition end() const;

private:
    /// Whether the last known record names this run of this host's process as the holder.
    [[nodiscard]] bool isOwnRecord() const;
    /// Whether the last known record was written in the present era of the log, so that it names the latest claim.
    [[nodiscard]] bool isRecordCurrent() const;
    /// Whether the time in which this host may act after its last renewal has not passed.
    [[nodiscard]] bool mayAct(TimePoint now) const;
    [[nodiscard]] std::optional<DutyRecord> renewal(TimePoint now, const std::vector<ports::UsageReport> &decided) const;
    [[nodiscard]] std::optional<DutyRecord> claim(TimePoint now, std::uint64_t currentWindow) const;
    /// Whether this host may claim the lease without waiting until it counts as abandoned.
    [[nodiscard]] bool isFree(TimePoint now) const;
    /// The hosts that may have acted within one lease duration before a claim of this host. @p abandoned: it claims an abandoned lease.
    [[nodiscard]] std::vector<std::string> holdersBeforeClaim(bool abandoned) const;
    /// The recent holders in this host's own record; none once its claim is older than a lease duration, since no other host has acted after it.
    [[nodiscard]] std::vector<std::string> recentHolders(TimePoint now) const;
    /// Notes @p began as the time of this host's claim when the present record is the first one known of that claim.
    void noteOwnClaim(TimePoint began);
    /// The fencing token of a claim that is appended at end().
    [[nodiscard]] std::uint64_t nextFence() const;

    const std::string m_host;
    const std::string m_start;
    const Duration m_lease;
    const bool m_firstStart;
    std::optional<DutyRecord> m_record;
    std::optional<DutyRecord> m_lastAppended; ///< By this process.
    ports::LogPosition m_end;
    bool m_restored = false;                 ///< The era of the log has risen since this process first read it.
    std::optional<TimePoint> m_changedAt;    ///< When the current record and log end were first seen.
    std::optional<TimePoint> m_renewalBegan; ///< When the last successful claim or renewal began.
    std::uint64_t m_claimedFence = 0;        ///< Fencing token of this host's latest claim.
    TimePoint m_claimBegan;                  ///< When that claim began, or later.
    std::optional<TimePoint> m_lastReadBegan;
    bool m_readRequired = true;
    bool m_releasing = false; ///< This host has begun to release the lease.
};

}
