#include "gateway/internal/gatewaycontext.h"

#include "base/text.h"
#include "gateway/internal/hostclock.h"
#include "gateway/internal/measuredlog.h"
#include "gateway/internal/streammoves.h"
#include "gateway/internal/suspectrecorder.h"

namespace rosemaryshift::gateway {

namespace {

/// Number of renewals of its entry after which an upstream that has started is in the list for certain.
constexpr int ListingRenewals = 2;

/// A seed from the system's entropy source.
std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string commaSeparated(const std::set<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        if (!text.empty()) {
            text += ',';
        }
        text += word;
    }
    return text;
}

}

GatewayContext::GatewayContext(const GatewaySettings &hostSettings, PlatformPorts platformPorts, std::string processStartId)
    : settings(hostSettings)
    , logEra([this](std::uint64_t era) {
        eventLog.write("log_restored", eventlog::Importance::StateChange, {{"era", static_cast<std::int64_t>(era)}});
    })
    , ports(withMeasuredLogs(std::move(platformPorts), metrics, logEra))
    , startId(std::move(processStartId))
    , eventLog(settings.name, startId, settings.logBudget, eventlog::makeOutputWriter())
    , admission(std::make_shared<overload::AdmissionControl>([this](const overload::OverloadReport &report) {
        eventLog.write("overload",
                       eventlog::Importance::StateChange,
                       {{"change", report.change == overload::OverloadChange::Begun ? "begun" : "ended"},
                        {"lateness_ms", wholeMilliseconds(report.lateness)},
                        {"lasted_ms", wholeMilliseconds(report.lasted)},
                        {"waiting", static_cast<std::int64_t>(report.waiting)},
                        {"rejected", static_cast<std::int64_t>(report.rejected)}});
    }))
    , directory([this](const directory::Upstream &upstream, std::string_view change) { handleUpstreamChange(upstream, change); })
    , listReadInterval(directory::listReadInterval(settings.maxLeavingDelay, settings.renewalInterval))
    , listAvailability(settings.renewalInterval, listReadInterval)
    , runContinuity(settings.renewalInterval * ListingRenewals)
    , upstreamReach([this](const std::string &service, bool reached) {
        eventLog.write("service_reach", eventlog::Importance::StateChange, {{"service", service}, {"change", reached ? "reached" : "unreached"}});
    })
    , balancer(randomSeed())
    , quotas(settings.quotas, randomSeed())
    , retryBudget(settings.retries)
    , secondTries(settings.secondTries)
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
        if (suspectRecorder != nullptr && change != quarantine::SuspectChange::Trial) {
            suspectRecorder->noteVerdict(suspect);
        }
    })
    , softwareVersions([this](const std::string &service, const std::set<std::string> &versions) {
        eventLog.write("software_versions", eventlog::Importance::StateChange, {{"service", service}, {"versions", commaSeparated(versions)}});
    })
    , versionGate(settings.exposure,
                  settings.maxConfigurationDelay,
                  static_cast<double>(randomSeed() >> 11U) * 0x1p-53,
                  [this](const rollouts::Rollout &rollout, std::string_view change) { handleRolloutChange(rollout, change); })
    , usageLedger(settings.usageWindow)
    , heldBytes(std::make_shared<http::MemoryBudget>(settings.heldBytes))
    , upstreamConnections(std::make_shared<http::ConnectionPool>([this](std::string_view endpoint) { handleConnectionsEnded(endpoint); }))
    , peerConnections(std::make_shared<http::ConnectionPool>())
    , upstreamSamples(balancer.speeds())
    , hostLinks(settings.linkMegabits)
    , statusChannels([this](std::string_view channel, std::string_view hostStart) {
        metrics.count("rosemaryshift_channel_unreadable_total", R"(channel=")" + std::string(channel) + R"(")");
        eventLog.write("channel_unreadable", eventlog::Importance::Failure, {{"channel", channel}, {"from", hostStart}});
    })
    , forwardingToken(randomId())
    , randomEngine(randomSeed())
    , stop(settings.stopTimeout)
{
    if (secondTries.enabled()) {
        statusChannels.add(secondTries.times());
    }
    statusChannels.add(versionGate);
    statusChannels.add(upstreamSamples);
    statusChannels.add(hostLinks);
}

void GatewayContext::handleConnectionsEnded(std::string_view endpoint)
{
    for (const auto &[instance, upstream] : directory.all()) {
        if (upstream.entry.endpoint.text() == endpoint) {
            runContinuity.noteConnectionsLost(instance, hostNow());
        }
    }
}

void GatewayContext::handleUpstreamChange(const directory::Upstream &upstream, std::string_view change)
{
    const directory::UpstreamEntry &entry = upstream.entry;
    eventLog.write("upstream",
                   eventlog::Importance::StateChange,
                   {{"instance", entry.instance},
                    {"service", entry.service},
                    {"change", change},
                    {"zone", entry.zone},
                    {"version", entry.softwareVersion},
                    {"leaves_in_ms", entry.leavesIn ? static_cast<std::int64_t>(entry.leavesIn->count()) : std::int64_t{-1}}});
    const bool unstated = change == "leaving" && entry.reclaimable && !entry.leavesIn;
    if ((change == "notice" || unstated) && streamMoves != nullptr) {
        streamMoves->noteNotice(upstream);
    }
    if (change == "removed") {
        versionGate.noteRemoved(entry.instance);
    } else {
        versionGate.noteListed(entry.instance, entry.service, entry.softwareVersion, hostNow());
    }
    if (change == "removed") {
        balancer.forgetUpstream(entry.instance, hostNow());
        runContinuity.forget(entry.instance);
    } else if (change == "listed") {
        // An earlier run with the same id says nothing about this one.
        balancer.speeds().forgetUpstream(entry.instance, hostNow());
        // The run may have begun at any time since the list was last read.
        const TimePoint lastRead = listAvailability.outageBegan().value_or(upstream.firstSeen);
        streamOrigins.noteRun(entry.instance, entry.softwareVersion, lastRead - settings.renewalInterval * ListingRenewals);
    }
}

void GatewayContext::handleRolloutChange(const rollouts::Rollout &rollout, std::string_view change)
{
    const rollouts::Evidence seen = rollout.pooled();
    const TimePoint now = hostNow();
    metrics.count("rosemaryshift_rollout_changes_total", R"(change=")" + std::string(change) + R"(")");
    eventLog.write("rollout",
                   eventlog::Importance::StateChange,
                   {{"service", rollout.order().service},
                    {"version", rollout.order().version},
                    {"change", change},
                    {"order", static_cast<std::int64_t>(rollout.id())},
                    {"age_ms", wholeMilliseconds(rollout.age(now).value_or(std::chrono::milliseconds(-1)))},
                    {"requests", static_cast<std::int64_t>(seen.requests)},
                    {"exposed", static_cast<std::int64_t>(seen.exposed)},
                    {"answers", static_cast<std::int64_t>(seen.answers())},
                    {"failures", static_cast<std::int64_t>(seen.failures())}});
}

double GatewayContext::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(randomEngine);
}

}
