#pragma once

#include "bookings/ibookingcoordinator.h"

#include <deque>
#include <map>

namespace rosemaryshift::bookings {

/// Queue of records to append to the log. Forms batches and limits their rate to this host's share of the fleet's appends. Not thread-safe.
class AppendQueue
{
public:
    explicit AppendQueue(const BookingPolicy &policy);

    /// Queues a record for a later batch.
    void add(BookingRecord record);
    /// Removes the claim with the id @p claim unless it was already put into a batch.
    void dropClaim(std::string_view claim);
    /// Sets the number of live hosts that share the limit of appends.
    void setHosts(std::uint32_t hosts);
    /// Forms the next batch if one is due at @p now.
    std::optional<AppendRecords> nextBatch(TimePoint now);
    /// Handles the result of a batch. A failed batch is queued again. If it is unknown whether the batch was appended, its
    /// releases and outcomes are queued again, since a second copy has no effect, but its claims are not.
    void finishBatch(const AppendEnded &event, TimePoint now);
    /// Time at which nextBatch() has to be called again; nothing when only a new record or result can make a batch due.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;
    /// Number of records that are not confirmed to be in the log.
    [[nodiscard]] std::size_t size() const;

private:
    /// Least time between two appends of this host.
    [[nodiscard]] Duration appendInterval() const;

    const BookingPolicy m_policy;
    std::uint32_t m_hosts = 1;
    std::deque<BookingRecord> m_waiting;
    std::map<std::uint64_t, std::vector<BookingRecord>> m_inFlight;
    std::size_t m_recordsInFlight = 0;
    std::uint64_t m_nextBatchNumber = 1;
    TimePoint m_notBefore = TimePoint::min(); ///< Earliest time of the next batch.
};

}
