#pragma once

#include "balancing/balancingtypes.h"

#include <map>
#include <string>
#include <unordered_map>

namespace rosemaryshift::balancing {

/// The load that the other hosts have reported, summed by upstream. Each report is used for a time that its sender's interval determines. Not thread-safe.
class PeerLoad
{
public:
    /// Replaces what @p host has reported before.
    void set(const std::string &host, std::map<std::string, Outstanding> outstanding, TimePoint now, Duration lifetime);
    /// Drops the report of a host that is gone.
    void forget(const std::string &host);
    /// Drops the reports that were not renewed in time.
    void expire(TimePoint now);
    /// Sum of what the other hosts have placed on @p instance.
    [[nodiscard]] Outstanding at(const std::string &instance) const;

private:
    struct Report {
        std::map<std::string, Outstanding> outstanding;
        TimePoint expires;
    };

    void add(const std::map<std::string, Outstanding> &outstanding);
    void remove(const std::map<std::string, Outstanding> &outstanding);

    std::map<std::string, Report> m_reports;             ///< By host.
    std::unordered_map<std::string, Outstanding> m_sums; ///< By upstream; without those that have no load.
    TimePoint m_nextExpiry = TimePoint::max();           ///< When the first report expires, or earlier.
};

}
