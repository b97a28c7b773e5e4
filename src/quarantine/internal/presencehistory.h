#pragma once

#include "base/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace rosemaryshift::quarantine {

/// For how long each upstream of a service ran in the last minute, and for how long a request of this host was in progress there. Requests that are in
/// progress side by side count once. Not thread-safe.
class PresenceHistory
{
public:
    /// Records that a request was in progress at @p instance between two times. Precondition: requests are recorded in the order of their ends.
    void note(std::string_view instance, TimePoint from, TimePoint until);
    /// Records that @p instance crashed, so that it did not run until the next request.
    void noteCrash(std::string_view instance, TimePoint at);
    /// Estimates the time since @p since, in whole seconds, for which a request of any of @p hosts was in progress at @p instance. Assumes that the others send
    /// as many as this one.
    [[nodiscard]] Duration busyAt(std::string_view instance, TimePoint since, std::size_t hosts) const;
    /// Sum of the estimates for all instances.
    [[nodiscard]] Duration busy(TimePoint since, std::size_t hosts) const;
    /// Drops what is too old to be counted.
    void expire(TimePoint now);

private:
    struct Bucket {
        std::int64_t second = 0;
        Duration running{0}; ///< Time for which the upstream ran, as far as this host has seen.
        Duration present{0}; ///< Time for which a request was in progress.
    };
    struct Instance {
        TimePoint from; ///< The last interval without a gap in which a request was in progress.
        TimePoint until;
        TimePoint crashedAt;
        std::deque<Bucket> buckets; ///< Oldest first.
    };

    static void add(Instance &instance, TimePoint from, TimePoint until, bool present);
    static Duration busyTime(const Instance &instance, TimePoint since, std::size_t hosts);

    std::map<std::string, Instance, std::less<>> m_instances;
};

}
