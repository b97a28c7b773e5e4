#pragma once

#include "bookings/ibookingcoordinator.h"

#include <deque>
#include <map>

namespace rosemaryshift::bookings {

/// Records on their way to the log, in batches that keep to the host's share of the log's appends.
class AppendQueue
{
public:
    explicit AppendQueue(const BookingPolicy &policy);

    void add(BookingRecord record);
    /// Drops a claim that was not sent yet.
    void drop(std::string_view claim);
    void setHosts(std::uint32_t hosts);
    /// Forms the next batch if one is due at @p now.
    std::optional<AppendRecords> next(TimePoint now);
    /// Takes in how a batch ended. Releases and outcomes whose fate is unknown go out again, since they have no effect
    /// a second time; claims do not.
    void ended(const AppendEnded &event, TimePoint now);
    /// When next() has to be asked again; nothing when only an event can change anything.
    [[nodiscard]] std::optional<TimePoint> nextWake() const;
    /// Records not known to stand in the log.
    [[nodiscard]] std::size_t size() const;

private:
    [[nodiscard]] Duration interval() const;

    const BookingPolicy m_policy;
    std::uint32_t m_hosts = 1;
    std::deque<BookingRecord> m_waiting;
    std::map<std::uint64_t, std::vector<BookingRecord>> m_inFlight;
    std::size_t m_recordsInFlight = 0;
    std::uint64_t m_nextBatch = 1;
    TimePoint m_notBefore = TimePoint::min();
};

}
