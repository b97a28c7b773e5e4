#pragma once

#include "standins/standinserver.h"

#include <json/value.h>

#include <deque>
#include <map>

namespace rosemaryshift::standins {

/// Settings of StandinPlatform.
struct PlatformSettings {
    std::string logLevel;
    http::Endpoint address;
    std::size_t retainedRecords = 100'000; ///< Records kept in the log; the oldest are dropped first.
};

PlatformSettings readPlatformSettings(SettingsDocument &document);

/// Stand-in for the platform: serves the log, the host list and reclaim notices. Thread-safe.
///
/// Tests control it by FailureInjection and by these requests:
/// - PUT /standin/hosts {"hosts": [...]}: replaces the host list.
/// - PUT /standin/list_frozen {"frozen": bool}: while frozen, changes of the host list are not shown to readers.
/// - PUT /standin/notice {"host": NAME, "reclaim_in_ms": N}: gives a host a reclaim notice.
/// - PUT /standin/truncate {"oldest": N}: drops the log records before offset N.
/// - PUT /standin/log_down {"down": bool}: while down, log requests get their connection closed; the rest is served.
/// - PUT /standin/lose_appends {"count": N}: the next N appends take effect, but their connections close without an answer.
///
/// FailureMode::Slow delays each request by its factor in milliseconds.
class StandinPlatform
{
public:
    explicit StandinPlatform(const PlatformSettings &settings);

    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    boost::asio::awaitable<void> serve(http::Request request, http::IResponseWriter &writer);
    bool handleCommand(const http::Request &request, http::Response &response);
    http::Response append(const http::Request &request);
    /// Whether the answer of the append just made is to be lost; counts it against PUT /standin/lose_appends.
    bool takeLostAppend();
    [[nodiscard]] bool logDown() const;
    boost::asio::awaitable<http::Response> readLog(std::string target);
    boost::asio::awaitable<http::Response> readHosts(std::string target);
    boost::asio::awaitable<http::Response> readNotices(std::string target);
    /// Drops the records before offset @p oldest.
    void dropBefore(std::uint64_t oldest);

    const PlatformSettings m_settings;
    FailureInjection m_failures;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_records;
    std::uint64_t m_oldest = 0;   ///< Offset of the first record in m_records.
    Json::Value m_hosts;          ///< As last set by PUT /standin/hosts.
    Json::Value m_publishedHosts; ///< As shown to readers; lags behind m_hosts while the list is frozen.
    std::uint64_t m_hostsVersion = 1;
    bool m_listFrozen = false;
    bool m_logDown = false;
    std::uint64_t m_appendsToLose = 0;
    std::map<std::string, std::uint64_t> m_notices; ///< Milliseconds until the reclaim, by host.
};

}
