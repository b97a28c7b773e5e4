#pragma once

#include "eventlog/eventlog.h"
#include "http/httptypes.h"
#include "limits/iquotarule.h"
#include "limits/retrybudget.h"
#include "rollouts/rollouttypes.h"
#include "secondtries/secondtrysettings.h"
#include "settings/settingsdocument.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemaryshift::gateway {

/// Settings of a gateway. examples/gateway.toml documents the keys, their units and defaults.
struct GatewaySettings {
    std::string name;
    std::string zone;
    std::string address; ///< IP address at which the other gateways reach this one.

    http::Endpoint callerListener;                 ///< Serves the requests of callers.
    http::Endpoint readinessListener;              ///< Serves the load balancer's readiness checks.
    http::Endpoint peerListener;                   ///< Serves the configuration to other gateways.
    std::uint16_t gossipPort = 0;                  ///< UDP port for gossip; the same on all gateways.
    std::uint16_t relayPort = 0;                   ///< UDP port for what gateways read from the log for each other; the same on all; 0 for none.
    std::optional<http::Endpoint> metricsListener; ///< Serves the metrics in Prometheus' text format.
    std::vector<std::string> seeds;                ///< Peer listeners of other gateways, as address:port; may be out of date.

    http::Endpoint platformLog;                ///< Server of the platform log.
    bool firstStart = false;                   ///< The whole system starts for the first time, so that the log has no records of its own yet.
    std::optional<http::Endpoint> dutyService; ///< Takes usage reports and scaling requests; nothing when the platform has none.

    std::chrono::milliseconds renewalInterval{1'200};       ///< Interval at which upstreams renew their directory entries.
    std::chrono::milliseconds maxLeavingDelay{2'000};       ///< Time after which an upstream that announced its leaving gets no new requests.
    std::chrono::milliseconds stopTimeout{8'000};           ///< Time from the signal to stop until the process is killed.
    std::chrono::milliseconds maxConfigurationDelay{2'000}; ///< Time after which a published configuration is in force on all hosts.
    std::chrono::milliseconds maxRevocationDelay{5'000};    ///< Time after which a withdrawn API key is refused.
    std::chrono::milliseconds leaseDuration{3'000};         ///< Lease on the singleton duties: another host may claim them after this time without a renewal.
    std::chrono::milliseconds usageWindow{5'000};           ///< Length of the windows by which usage is reported.
    std::chrono::milliseconds usageReportDelay{10'000};     ///< The usage of a window must be reported within this time after its end.
    std::size_t heldBytes = 64UL * 1024 * 1024;             ///< Bound on the bytes of all requests and answers that are held at the same time.
    std::uint64_t linkMegabits = 0;                         ///< What the host's network link carries in a second; 0 when not known.
    eventlog::Budget logBudget;
    std::chrono::milliseconds longestPause{30'000}; ///< Longest time that an upstream which asks for a pause is left without requests.
    limits::RetryAllowance retries;
    limits::QuotaTolerance quotas;
    secondtries::SecondTrySettings secondTries;
    rollouts::ExposureBounds exposure; ///< Of versions that are rolled out.
};

/// Reads the settings; errors are recorded in @p document.
GatewaySettings readGatewaySettings(SettingsDocument &document);

}
