#pragma once

#include "platform/platformtypes.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <span>

namespace rosemaryshift::platform {

/// The platform's append-only log. Calls may run concurrently; each resumes on the executor of its caller.
class ILog
{
public:
    virtual ~ILog() = default;

    /// Appends @p records in their order and returns the offset of the first; nothing, with @p failure set, on failure.
    virtual boost::asio::awaitable<std::optional<std::uint64_t>> append(std::vector<std::string> records, PlatformFailure &failure) = 0;
    /// Reads records from offset @p from on; waits up to @p wait for the first. A page whose @c oldest is greater than
    /// @p from means that the log no longer holds the records in between. Nothing, with @p failure set, on failure.
    virtual boost::asio::awaitable<std::optional<LogPage>> read(std::uint64_t from, std::chrono::milliseconds wait, PlatformFailure &failure) = 0;
};

/// The platform's list of hosts, which lags behind their actual state. Calls may run concurrently; each resumes on the executor of its caller.
class IHostDirectory
{
public:
    virtual ~IHostDirectory() = default;

    /// Reads the list; waits up to @p wait for a version other than @p known. Nothing, with @p failure set, on failure.
    virtual boost::asio::awaitable<std::optional<HostList>> list(std::uint64_t known, std::chrono::milliseconds wait, PlatformFailure &failure) = 0;
};

/// The platform's notices that it will reclaim a host.
class IReclaimNotices
{
public:
    virtual ~IReclaimNotices() = default;

    /// Waits up to @p wait for a reclaim notice to host @p host and returns the time left until the reclaim; the vector is empty when no
    /// notice came. Nothing, with @p failure set, on failure.
    virtual boost::asio::awaitable<std::optional<std::vector<std::chrono::milliseconds>>>
    notices(std::string host, std::chrono::milliseconds wait, PlatformFailure &failure) = 0;
};

std::shared_ptr<ILog> makeHttpLog(const http::Endpoint &endpoint);
std::shared_ptr<IHostDirectory> makeHttpHostDirectory(const http::Endpoint &endpoint);
std::shared_ptr<IReclaimNotices> makeHttpReclaimNotices(const http::Endpoint &endpoint);

/// Reads a host list from JSON text; malformed rows are skipped and counted. Nothing when the list itself is malformed. Thread-safe.
std::optional<HostList> hostListFromJson(std::string_view text);
/// JSON text of a host list, in the form that hostListFromJson() reads. Thread-safe.
std::string hostListText(const HostList &list);
/// Reads a page of the log from JSON text; nothing when malformed. Thread-safe.
std::optional<LogPage> logPageFromJson(std::string_view text);

}
