#pragma once

#include "duties/dutylease.h"

#include <catch2/catch.hpp>

namespace rosemaryshift::duties::testing {

inline constexpr TimePoint Start{std::chrono::seconds(100)};
inline constexpr std::chrono::milliseconds Lease{3'000};

/// Log with a single record, which an append replaces only when it expects the current end offset.
struct FakeLog {
    std::optional<DutyRecord> record;
    ports::LogPosition end;

    bool append(const DutyRecord &next, ports::LogPosition expectedEnd)
    {
        if (expectedEnd.offset != end.offset) {
            return false;
        }
        record = next;
        ++end.offset;
        return true;
    }

    /// Goes on from @p copy in the next era.
    void restore(const FakeLog &copy)
    {
        const std::uint64_t era = end.era.value_or(0) + 1;
        *this = copy;
        end.era = era;
    }
};

/// One round of a host: reads the log when needed and appends the proposed record, if there is one.
inline void step(DutyLease &lease, FakeLog &log, TimePoint now)
{
    if (lease.needsRead(now, false)) {
        lease.observe(log.record, log.end, now);
    }
    const std::vector<ports::UsageReport> decided = lease.record() ? lease.record()->decided : std::vector<ports::UsageReport>();
    const std::optional<DutyRecord> next = lease.proposal(now, decided, 0);
    if (!next) {
        return;
    }
    if (log.append(*next, lease.end())) {
        lease.noteAppended(*next, now, log.end.era);
    } else {
        lease.requireRead();
    }
}

/// The host gives up the lease, if it holds it.
inline void release(DutyLease &lease, FakeLog &log, TimePoint now)
{
    const std::optional<DutyRecord> next = lease.release(now);
    if (!next) {
        return;
    }
    if (log.append(*next, lease.end())) {
        lease.noteAppended(*next, now, log.end.era);
    } else {
        lease.requireRead();
    }
}

/// Has @p lease take part until it holds the duties. Returns when that is.
inline TimePoint stepUntilHeld(DutyLease &lease, FakeLog &log, TimePoint now)
{
    constexpr int MaxTicks = 100;
    for (int tick = 0; tick < MaxTicks && !lease.holds(now); ++tick) {
        now += std::chrono::milliseconds(100);
        step(lease, log, now);
    }
    REQUIRE(lease.holds(now));
    return now;
}

}
