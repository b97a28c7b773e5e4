#pragma once

#include "base/types.h"

#include <deque>
#include <map>
#include <string>

namespace rosemaryshift::limits {

/// How many requests may be offered a second time, summed over all hosts.
struct RetryAllowance {
    Duration window{std::chrono::seconds(10)};
    double ratio = 0.2; ///< Of the requests of the window.
    double slack = 0;   ///< Beyond the ratio.
};

/// This host's part of the budget for second offers, for each service. The ratio is of the host's own requests, the slack is split among
/// the hosts, so that the sum keeps the promise without messages. Time comes in with each call. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryAllowance allowance);

    /// Takes the number of hosts among which the slack is split.
    void setHosts(std::size_t hosts);
    /// A request of a caller for @p service has come.
    void noteRequest(const std::string &service, TimePoint now);
    /// Takes one second offer from the budget; false when none is left.
    bool take(const std::string &service, TimePoint now);

private:
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void expire(std::deque<TimePoint> &times, TimePoint now) const;

    const RetryAllowance m_allowance;
    std::size_t m_hosts = 1;
    std::map<std::string, Usage> m_usage;
};

}
