#pragma once

#include "ports/iplatformlog.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace rosemaryshift::relay {

/// A record of the platform's log that changed an entry, or removed it.
struct Change {
    std::string key;
    std::optional<std::string> value; ///< Nothing when the entry was removed.
    std::uint64_t offset = 0;

    bool operator==(const Change &) const = default;
};

/// The changes between two offsets of the log, in their order.
struct Changes {
    std::deque<Change> changes;
    ports::LogPosition next; ///< From which the next changes are to be asked for.
    bool more = false;       ///< There are more changes from there on, which did not fit.
};

/// What a host has recently read from a topic of the platform's log, for other hosts that ask it. Most records only renew an entry; these are left out. Not
/// thread-safe.
class ChangeLog
{
public:
    /// Begins anew, after the newest record of each key was read. @p end: position of the next read.
    void reset(ports::LogPosition end);
    /// Notes the next record that was read, if it changes an entry.
    void note(Change change);
    /// Notes that all records before @p end were read. A later era, or an offset that goes back, begins the log anew.
    void advance(ports::LogPosition end);
    /// The changes from @p position on, bounded in size. Nothing when some of them are not known, or have not been read yet, or @p position is of another
    /// era.
    [[nodiscard]] std::optional<Changes> from(ports::LogPosition position) const;

private:
    std::optional<std::uint64_t> m_beginOffset; ///< From which on all changes are known; nothing before the first read.
    ports::LogPosition m_end;
    std::deque<Change> m_changes;
    std::size_t m_bytes = 0;
};

}
