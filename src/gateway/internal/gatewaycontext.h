#pragma once

#include "balancing/upstreambalancer.h"
#include "directory/listavailability.h"
#include "directory/upstreamdirectory.h"
#include "duties/usageledger.h"
#include "eventlog/eventlog.h"
#include "gateway/gatewaysettings.h"
#include "gateway/igateway.h"
#include "gateway/internal/activeconfiguration.h"
#include "gateway/internal/gatewaymetrics.h"
#include "gateway/internal/truetime.h"
#include "http/connectionpool.h"
#include "limits/retrybudget.h"
#include "limits/workspacequotas.h"

#include <memory>
#include <random>
#include <set>

namespace rosemaryshift::gateway {

/// The state of one gateway that its parts share. Used from the gateway's only thread.
struct GatewayContext {
    GatewayContext(const GatewaySettings &hostSettings, PlatformPorts platformPorts, std::string processStart);

    const GatewaySettings settings;
    const PlatformPorts ports;
    const std::string start; ///< Tells one start of the process from another.
    eventlog::EventLog log;
    GatewayMetrics metrics;
    ActiveConfiguration configuration;
    directory::UpstreamDirectory directory;
    directory::ListAvailability listAvailability;
    balancing::UpstreamBalancer balancer;
    limits::WorkspaceQuotas quotas;
    limits::RetryBudget retries;
    duties::UsageLedger usage;
    TrueTime trueTime;
    std::shared_ptr<http::ConnectionPool> upstreamConnections;
    std::mt19937_64 random;
    std::set<std::string> silentZones; ///< Availability zones from which no gateway is heard.
    std::size_t hosts = 1;             ///< This one and its peers.
    bool stopping = false;             ///< A stop was asked for; readiness is denied.
    bool refusing = false;             ///< New requests are refused, since they would not end before the process does.

    /// Uniform in [0, 1).
    double chance();
};

}
