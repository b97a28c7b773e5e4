#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemaryshift::ports {

/// The host that performs a singleton duty, and its fencing token.
struct DutyHolder {
    std::string host;
    std::uint64_t fencingToken = 0; ///< Grows with each change of the holder.
};

/// Number of requests of each workspace that started to run in one usage window.
struct UsageReport {
    std::uint64_t window = 0; ///< Index of the window, counted from the Unix epoch.
    std::map<std::string, std::uint64_t> requests;

    bool operator==(const UsageReport &) const = default;
};

/// Desired number of replicas of a service in one availability zone, either reclaimable or permanent ones.
struct ScalingTarget {
    std::string service;
    std::string zone;
    bool reclaimable = false;
    std::uint32_t replicas = 0;

    bool operator==(const ScalingTarget &) const = default;
};

/// Result of a call that only the holder of the singleton duties may make.
enum class DutyOutcome : std::uint8_t {
    Done,
    Unavailable, ///< The platform has no such capacity at the moment.
    Rejected,    ///< The platform refused the call; nothing was done.
    Unknown,     ///< No response came; the call may have taken effect.
};

/// Client of the platform calls that only one host at a time may make: the holder of the singleton duties. Not thread-safe.
class IDutyClient
{
public:
    virtual ~IDutyClient() = default;

    /// Reports the usage of one window. @p reason is set unless the outcome is Done.
    virtual boost::asio::awaitable<DutyOutcome> reportUsage(UsageReport report, DutyHolder holder, std::chrono::milliseconds timeout, std::string &reason) = 0;
    /// Requests the number of replicas in @p target. @p reason is set unless the outcome is Done.
    virtual boost::asio::awaitable<DutyOutcome> scaleUpstreams(ScalingTarget target, DutyHolder holder, std::chrono::milliseconds timeout, std::string &reason)
        = 0;
};

}
