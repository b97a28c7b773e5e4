#include "gateway/internal/gatewaycontext.h"

#include "base/text.h"
#include "gateway/internal/hostclock.h"

namespace rosemaryshift::gateway {

namespace {

/// A seed from the system's entropy source.
std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}

GatewayContext::GatewayContext(const GatewaySettings &hostSettings, PlatformPorts platformPorts, std::string processStartId)
    : settings(hostSettings)
    , ports(std::move(platformPorts))
    , startId(std::move(processStartId))
    , eventLog(settings.name, startId, settings.logBudget, eventlog::makeOutputWriter())
    , directory([this](const directory::Upstream &upstream, std::string_view change) {
        eventLog.write("upstream",
                       eventlog::Importance::StateChange,
                       {{"instance", upstream.entry.instance}, {"service", upstream.entry.service}, {"change", change}, {"zone", upstream.entry.zone}, {"version", upstream.entry.softwareVersion}});
        if (change == "removed") {
            balancer.forgetUpstream(upstream.entry.instance);
        }
    })
    , listAvailability(settings.renewalInterval)
    , quotas(settings.quotas)
    , retryBudget(settings.retries)
    , upstreamLimits([this](const std::string &instance, std::optional<double> perSecond) {
        eventLog.write("upstream_limit",
                       eventlog::Importance::StateChange,
                       {{"instance", instance}, {"change", perSecond ? "stated" : "lifted"}, {"per_second", perSecond.value_or(0)}});
    })
    , upstreamPauses(settings.longestPause,
                     [this](const std::string &instance, limits::PauseChange change, Duration length) {
                         eventLog.write("upstream_pause",
                                        eventlog::Importance::StateChange,
                                        {{"instance", instance},
                                         {"change", change == limits::PauseChange::Begun ? "begun" : "ended"},
                                         {"length_ms", wholeMilliseconds(length)}});
                     })
    , quarantine([this](quarantine::SuspectId suspect, quarantine::SuspectChange change, std::size_t crashes) {
        const bool isRequest = suspect.kind == quarantine::SuspectKind::Request;
        const std::string number = hexadecimal(suspect.number);
        eventLog.write(isRequest ? "equal_requests" : "prompt_part",
                       eventlog::Importance::StateChange,
                       {{isRequest ? "fingerprint" : "part", number}, {"change", quarantine::name(change)}, {"crashes", static_cast<std::int64_t>(crashes)}});
    })
    , usageLedger(settings.usageWindow)
    , upstreamConnections(std::make_shared<http::ConnectionPool>())
    , randomEngine(randomSeed())
{
}

double GatewayContext::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(randomEngine);
}

}
