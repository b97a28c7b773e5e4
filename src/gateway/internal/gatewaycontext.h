#pragma once

#include "balancing/upstreambalancer.h"
#include "directory/listavailability.h"
#include "directory/runcontinuity.h"
#include "directory/upstreamdirectory.h"
#include "directory/upstreamreach.h"
#include "duties/usageledger.h"
#include "eventlog/eventlog.h"
#include "gateway/gatewaysettings.h"
#include "gateway/igateway.h"
#include "gateway/internal/activeconfiguration.h"
#include "gateway/internal/answertimes.h"
#include "gateway/internal/gatewaymetrics.h"
#include "gateway/internal/hostlinks.h"
#include "gateway/internal/logeratracker.h"
#include "gateway/internal/openrequests.h"
#include "gateway/internal/stopschedule.h"
#include "gateway/internal/upstreamsampleschannel.h"
#include "gateway/internal/wallclockestimator.h"
#include "gossip/peerregistry.h"
#include "gossip/statuschannels.h"
#include "http/connectionpool.h"
#include "http/memorybudget.h"
#include "limits/quotaenforcement.h"
#include "limits/retrybudget.h"
#include "limits/upstreamlimits.h"
#include "limits/upstreampauses.h"
#include "overload/admissioncontrol.h"
#include "overload/loopdelay.h"
#include "quarantine/crashquarantine.h"
#include "rollouts/versiongate.h"
#include "secondtries/secondtrypolicy.h"
#include "streams/streamorigins.h"
#include "streams/versionhistory.h"

#include <memory>
#include <random>
#include <set>

namespace rosemaryshift::gateway {

class StreamMoves;
class SuspectRecorder;

/// State that the components of one gateway share. Used from the gateway's only thread.
struct GatewayContext {
    GatewayContext(const GatewaySettings &hostSettings, PlatformPorts platformPorts, std::string processStartId);

    const GatewaySettings settings;
    LogEraTracker logEra;
    const PlatformPorts ports;
    const std::string startId; ///< Random id of this start of the process, which tells it from earlier ones of the same host.
    eventlog::EventLog eventLog;
    GatewayMetrics metrics;
    overload::LoopDelay loopDelay;
    const std::shared_ptr<overload::AdmissionControl> admission; ///< Shared with the requests, which may end after the other components.
    ActiveConfiguration configuration;
    directory::UpstreamDirectory directory;
    const Duration listReadInterval; ///< Planned time between two reads of the list of upstreams.
    directory::ListAvailability listAvailability;
    directory::RunContinuity runContinuity;
    directory::UpstreamReach upstreamReach;
    balancing::UpstreamBalancer balancer;
    limits::QuotaEnforcement quotas;
    limits::RetryBudget retryBudget;
    secondtries::SecondTryPolicy secondTries;
    limits::UpstreamLimits upstreamLimits;
    limits::UpstreamPauses upstreamPauses;
    quarantine::CrashQuarantine quarantine;
    streams::VersionHistory softwareVersions;
    rollouts::VersionGate versionGate;
    streams::StreamOrigins streamOrigins;
    duties::UsageLedger usageLedger;
    WallClockEstimator wallClock;
    const std::shared_ptr<http::MemoryBudget> heldBytes; ///< Of requests and answers that are held at the same time.
    std::shared_ptr<http::ConnectionPool> upstreamConnections;
    std::shared_ptr<http::ConnectionPool> peerConnections;
    UpstreamSamplesChannel upstreamSamples;
    HostLinks hostLinks;
    gossip::StatusChannels statusChannels;
    const std::string forwardingToken;           ///< Random; peers present it with the requests that they forward to this process.
    const gossip::PeerRegistry *peers = nullptr; ///< The known peers; set before requests are served.
    StreamMoves *streamMoves = nullptr;          ///< Set before requests are served.
    SuspectRecorder *suspectRecorder = nullptr;  ///< Set before requests are served.
    std::mt19937_64 randomEngine;
    std::set<std::string> silentZones; ///< Availability zones whose known gateways are all silent.
    std::size_t hostCount = 1;         ///< Number of gateways: this one and its known peers.
    StopSchedule stop;                 ///< Once it has begun, the readiness check fails.
    AnswerTimes answerTimes;
    EndedByStop endedByStop;

    /// A random number, uniformly distributed in [0, 1).
    double randomFraction();

private:
    /// Notes that an upstream at @p endpoint has ended the last idle connections to it, as it does when its process ends.
    void handleConnectionsEnded(std::string_view endpoint);
    /// Passes a change of the list of upstreams to the components that depend on it.
    void handleUpstreamChange(const directory::Upstream &upstream, std::string_view change);
    /// Logs and counts a change of a roll-out.
    void handleRolloutChange(const rollouts::Rollout &rollout, std::string_view change);
};

}
