#pragma once

#include "standins/standinserver.h"

#include <json/value.h>

#include <deque>
#include <map>

namespace rosemaryshift::standins {

struct PlatformSettings {
    std::string logLevel;
    http::Endpoint address;
    std::size_t retainedRecords = 100'000;
};

PlatformSettings readPlatformSettings(SettingsDocument &document);

/// Stands in for the platform: the log, the host list and reclaim notices. Thread-safe.
///
/// Besides the failures, it is driven by PUT /standin/hosts (the whole list), PUT /standin/list_frozen ({"frozen": bool},
/// the list lags), PUT /standin/notice ({"host", "reclaim_in_ms"}), PUT /standin/truncate ({"oldest": N}),
/// PUT /standin/log_down ({"down": bool}, the log closes each connection while the rest answers) and
/// PUT /standin/lose_appends ({"count": N}, the next appends take effect and their answers are lost).
class StandinPlatform
{
public:
    explicit StandinPlatform(const PlatformSettings &settings);

    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    boost::asio::awaitable<void> serve(http::Request request, http::IResponseWriter &writer);
    bool command(const http::Request &request, http::Response &response);
    http::Response append(const http::Request &request);
    bool takeLostAppend();
    [[nodiscard]] bool logDown() const;
    boost::asio::awaitable<http::Response> readLog(std::string target);
    boost::asio::awaitable<http::Response> readHosts(std::string target);
    boost::asio::awaitable<http::Response> readNotices(std::string target);
    void drop(std::uint64_t oldest);

    const PlatformSettings m_settings;
    Failures m_failures;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_records;
    std::uint64_t m_oldest = 0;
    Json::Value m_hosts;
    Json::Value m_shownHosts;
    std::uint64_t m_hostsVersion = 1;
    bool m_listFrozen = false;
    bool m_logDown = false;
    std::uint64_t m_appendsToLose = 0;
    std::map<std::string, std::uint64_t> m_notices; ///< Milliseconds until the reclaim, by host.
};

}
