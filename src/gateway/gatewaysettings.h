#pragma once

#include "eventlog/eventlog.h"
#include "http/httptypes.h"
#include "limits/retrybudget.h"
#include "limits/workspacequotas.h"
#include "settings/settingsdocument.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Settings of a gateway. Defaults and units stand in examples/gateway.toml.
struct GatewaySettings {
    std::string name;
    std::string zone;
    std::string address; ///< IP address that the other gateways know this one by.

    http::Endpoint callers;
    http::Endpoint readiness;
    http::Endpoint peers;
    std::uint16_t gossipPort = 0;
    std::optional<http::Endpoint> metrics;
    std::vector<std::string> seeds; ///< Addresses of other gateways' listeners for peers; may be stale.

    http::Endpoint platformLog;
    std::optional<http::Endpoint> dutyService;

    std::chrono::milliseconds renewal{1'200};       ///< An upstream renews its entry in the list this often.
    std::chrono::milliseconds leaving{2'000};       ///< Within this time a leaving upstream gets nothing new.
    std::chrono::milliseconds stopTime{8'000};      ///< From the signal to stop until the process is killed.
    std::chrono::milliseconds configuration{2'000}; ///< Within this time a configuration is in force.
    std::chrono::milliseconds revocation{5'000};    ///< Within this time a withdrawn key is refused.
    std::chrono::milliseconds lease{3'000};         ///< Time in which two hosts may not take turns at a duty.
    std::chrono::milliseconds usageWindow{5'000};
    std::chrono::milliseconds usageLate{10'000}; ///< A window's usage is due this long after its end.
    eventlog::Budget logBudget;
    limits::RetryAllowance retries;
    limits::QuotaTolerance quotas;
};

/// Reads the settings; faults are noted in the document.
GatewaySettings readGatewaySettings(SettingsDocument &document);

}
