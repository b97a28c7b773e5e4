#pragma once

#include "standins/standinserver.h"

#include <map>

namespace rosemaryshift::standins {

/// Settings of StandinService.
struct ServiceSettings {
    std::string name;
    std::string logLevel;
    http::Endpoint address;
    std::chrono::microseconds work{5'000}; ///< Duration of one call.
};

ServiceSettings readServiceSettings(SettingsDocument &document);

/// Stand-in for a booking service: counts the runs of each Idempotency-Key and, unlike a real one, runs a repeated key again.
/// Thread-safe.
class StandinService
{
public:
    explicit StandinService(const ServiceSettings &settings);

    boost::asio::awaitable<void> handle(http::Request request, http::IResponseWriter &writer);

private:
    boost::asio::awaitable<void> serve(http::Request request, http::IResponseWriter &writer);
    std::string run(const http::Request &request);
    http::Response runs() const;

    const ServiceSettings m_settings;
    FailureInjection m_failures;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs; ///< By Idempotency-Key.
    std::uint64_t m_calls = 0;
};

}
