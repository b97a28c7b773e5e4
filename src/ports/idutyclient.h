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

/// Requests of each workspace that began to run in one window.
struct UsageReport {
    std::uint64_t window = 0; ///< Number of the window since the start of 1970.
    std::map<std::string, std::uint64_t> requests;

    bool operator==(const UsageReport &) const = default;
};

/// How many upstreams of a kind a service is to have in an availability zone.
struct ScalingTarget {
    std::string service;
    std::string zone;
    bool reclaimable = false;
    std::uint32_t replicas = 0;

    bool operator==(const ScalingTarget &) const = default;
};

enum class DutyOutcome : std::uint8_t {
    Done,
    Unavailable, ///< The platform has none of these to give at the moment.
    Rejected,    ///< The platform refused the call; nothing was done.
    Unknown,     ///< No answer came; it may have been done.
};

/// The platform's calls that only one host at a time may make. Not thread-safe.
class IDutyClient
{
public:
    virtual ~IDutyClient() = default;

    virtual boost::asio::awaitable<DutyOutcome> reportUsage(UsageReport report, DutyHolder holder, std::chrono::milliseconds timeout, std::string &reason) = 0;
    virtual boost::asio::awaitable<DutyOutcome> scaleUpstreams(ScalingTarget target, DutyHolder holder, std::chrono::milliseconds timeout, std::string &reason)
        = 0;
};

}
