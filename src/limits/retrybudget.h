#pragma once

#include "base/types.h"

#include <deque>
#include <map>
#include <string>

namespace rosemaryshift::limits {

/// Number of retries that all hosts together may send within a sliding window.
struct RetryAllowance {
    Duration window{std::chrono::seconds(10)}; ///< Length of the sliding window.
    double ratio = 0.2;                        ///< Retries allowed for each request within the window.
    double slack = 0;                          ///< Retries allowed within the window in addition to the ratio.
};

/// This host's share of the retry budget of each service. The ratio applies to the host's own requests and the slack is split evenly among the
/// hosts, so that the sum over all hosts stays within the allowance without coordination. The current time is passed to each call. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryAllowance allowance);

    /// Sets the number of hosts among which the slack is split.
    void setHosts(std::size_t hosts);
    /// Counts a caller's request for @p service, which raises the number of retries allowed.
    void noteRequest(const std::string &service, TimePoint now);
    /// Whether take() would succeed.
    [[nodiscard]] bool allows(const std::string &service, TimePoint now);
    /// Takes one retry from the budget of @p service; false when the budget is exhausted.
    bool take(const std::string &service, TimePoint now);
    /// Whether take() would succeed and leave a part of the budget to requests that have failed.
    [[nodiscard]] bool hasSpare(const std::string &service, TimePoint now);

private:
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    /// Number of further retries that @p usablePart of the allowance has room for.
    [[nodiscard]] double remaining(Usage &usage, TimePoint now, double usablePart) const;
    void expire(std::deque<TimePoint> &times, TimePoint now) const;

    const RetryAllowance m_allowance;
    std::size_t m_hosts = 1;
    std::map<std::string, Usage> m_usage;
};

}
