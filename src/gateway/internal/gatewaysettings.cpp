#include "gateway/gatewaysettings.h"

#include "settings/endpointsetting.h"

namespace rosemaryshift::gateway {

namespace {

/// Longest accepted duration of a setting in milliseconds: one hour.
constexpr std::uint64_t MaxMilliseconds = 3'600'000;
/// Longest accepted duration of a setting in seconds: one hour.
constexpr double MaxSeconds = 3'600;
/// Highest accepted limit on the lines, and on the bytes, that the event log writes per second.
constexpr std::uint64_t MaxLogRate = 1U << 30U;
constexpr std::uint64_t MaxPort = 65'535;
/// Largest accepted memory limit of the process, in MiB.
constexpr std::uint64_t MaxMemoryMib = 1U << 20U;
/// Largest accepted share of second tries, and the accepted parts of the requests whose answers begin before one is considered.
constexpr double MaxSecondTryShare = 0.2;
constexpr double MinSecondTryQuantile = 0.5;
constexpr double MaxSecondTryQuantile = 0.999;
constexpr std::size_t BytesPerMib = 1U << 20U;
/// Part of the memory limit that requests and answers may take up together; the rest is for the state of the fleet, connections and copies.
constexpr std::size_t HeldMemoryDivisor = 4;

std::chrono::milliseconds milliseconds(SettingsTable &table, std::string_view key, std::chrono::milliseconds fallback)
{
    const double value = table.real(key, {0, static_cast<double>(MaxMilliseconds)}, static_cast<double>(fallback.count()));
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

std::chrono::milliseconds seconds(SettingsTable &table, std::string_view key, std::chrono::milliseconds fallback)
{
    const double value = table.real(key, {0, MaxSeconds}, std::chrono::duration<double>(fallback).count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(value * 1000));
}

void readListeners(SettingsTable &root, GatewaySettings &settings)
{
    std::optional<SettingsTable> listen = root.table("listen");
    if (!listen) {
        root.reject("listen", "is missing");
        return;
    }
    settings.callerListener = endpointSetting(*listen, "callers");
    settings.readinessListener = endpointSetting(*listen, "readiness");
    settings.peerListener = endpointSetting(*listen, "peers");
    settings.gossipPort = static_cast<std::uint16_t>(listen->number("gossip_port", {1, MaxPort}));
    settings.relayPort = static_cast<std::uint16_t>(listen->number("relay_port", {0, MaxPort}, 0));
    const std::uint64_t metricsPort = listen->number("metrics_port", {0, MaxPort}, 0);
    if (metricsPort > 0) {
        settings.metricsListener = http::Endpoint{settings.address, static_cast<std::uint16_t>(metricsPort)};
    }
    listen->rejectUnknownKeys();
}

void readPlatform(SettingsTable &root, GatewaySettings &settings)
{
    std::optional<SettingsTable> platform = root.table("platform");
    if (!platform) {
        root.reject("platform", "is missing");
        return;
    }
    settings.platformLog = endpointSetting(*platform, "log");
    const std::string duties = platform->text("duties", "");
    if (!duties.empty()) {
        settings.dutyService = endpointSetting(*platform, "duties");
    }
    settings.firstStart = platform->flag("first_start", settings.firstStart);
    platform->rejectUnknownKeys();
}

void readPromises(SettingsTable &root, GatewaySettings &settings)
{
    std::optional<SettingsTable> promises = root.table("promises");
    if (!promises) {
        return;
    }
    settings.renewalInterval = milliseconds(*promises, "renewal_ms", settings.renewalInterval);
    settings.maxLeavingDelay = milliseconds(*promises, "leaving_ms", settings.maxLeavingDelay);
    settings.stopTimeout = seconds(*promises, "stop_s", settings.stopTimeout);
    settings.maxConfigurationDelay = milliseconds(*promises, "configuration_ms", settings.maxConfigurationDelay);
    settings.maxRevocationDelay = milliseconds(*promises, "revocation_ms", settings.maxRevocationDelay);
    settings.leaseDuration = milliseconds(*promises, "lease_ms", settings.leaseDuration);
    settings.usageWindow = seconds(*promises, "usage_window_s", settings.usageWindow);
    settings.usageReportDelay = seconds(*promises, "usage_late_s", settings.usageReportDelay);
    settings.retries.window = seconds(*promises, "retry_window_s", std::chrono::seconds(10));
    settings.retries.ratio = promises->real("retry_ratio", {0, 10}, settings.retries.ratio);
    settings.retries.slack = promises->real("retry_slack", {}, settings.retries.slack);
    settings.quotas.excess = promises->real("quota_excess", {0, 1}, settings.quotas.excess);
    settings.quotas.slack = promises->real("quota_slack", {}, settings.quotas.slack);
    settings.quotas.window = seconds(*promises, "quota_window_s", std::chrono::milliseconds(0));
    settings.exposure.share = promises->real("exposure_share", {0, 1}, settings.exposure.share);
    settings.exposure.slack = promises->real("exposure_slack", {}, settings.exposure.slack);
    settings.exposure.maxRollbackDelay = milliseconds(*promises, "rollback_ms", settings.exposure.maxRollbackDelay);
    promises->rejectUnknownKeys();
}

}

GatewaySettings readGatewaySettings(SettingsDocument &document)
{
    SettingsTable root = document.root();
    GatewaySettings settings;
    settings.name = root.text("name");
    settings.zone = root.text("zone");
    settings.address = root.text("address");
    readListeners(root, settings);
    readPlatform(root, settings);
    readPromises(root, settings);
    if (std::optional<SettingsTable> log = root.table("log")) {
        settings.logBudget.linesPerSecond = static_cast<std::uint32_t>(log->number("lines_per_s", {0, MaxLogRate}, settings.logBudget.linesPerSecond));
        settings.logBudget.bytesPerSecond = static_cast<std::uint32_t>(log->number("bytes_per_s", {0, MaxLogRate}, settings.logBudget.bytesPerSecond));
        log->rejectUnknownKeys();
    }
    if (std::optional<SettingsTable> upstreams = root.table("upstreams")) {
        const std::uint64_t fallback = static_cast<std::uint64_t>(settings.longestPause.count());
        settings.longestPause = std::chrono::milliseconds(upstreams->number("longest_pause_ms", {0, MaxMilliseconds}, fallback));
        upstreams->rejectUnknownKeys();
    }
    if (std::optional<SettingsTable> process = root.table("process")) {
        const std::uint64_t memoryMib = process->number("memory_mb", {0, MaxMemoryMib}, 0);
        if (memoryMib > 0) {
            settings.heldBytes = memoryMib * BytesPerMib / HeldMemoryDivisor;
        }
        settings.linkMegabits = static_cast<std::uint64_t>(process->real("link_mbps", {}, 0));
        process->rejectUnknownKeys();
    }
    if (std::optional<SettingsTable> secondTries = root.table("second_tries")) {
        settings.secondTries.share = secondTries->real("share", {0, MaxSecondTryShare}, settings.secondTries.share);
        settings.secondTries.quantile = secondTries->real("quantile", {MinSecondTryQuantile, MaxSecondTryQuantile}, settings.secondTries.quantile);
        secondTries->rejectUnknownKeys();
    }
    if (std::optional<SettingsTable> peers = root.table("peers")) {
        settings.seeds = peers->texts("seeds");
        peers->rejectUnknownKeys();
    }
    root.rejectUnknownKeys();
    return settings;
}

}
