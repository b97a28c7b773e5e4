#include "entry/entrysettings.h"

#include "settings/endpointsetting.h"

namespace rosemaryshift::entry {

namespace {

constexpr NumberRange TimeoutMs{1, 3'600'000};
constexpr NumberRange KeyWindowMs{1, 365ULL * 24 * 3'600'000};
constexpr NumberRange ThreadCount{1, 64};

std::chrono::milliseconds milliseconds(SettingsTable &table, std::string_view key, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(table.number(key, TimeoutMs, static_cast<std::uint64_t>(fallback.count())));
}

std::optional<SettingsTable> requiredTable(SettingsTable &root, std::string_view key)
{
    std::optional<SettingsTable> table = root.table(key);
    if (!table) {
        root.reject(key, "must be given");
    }
    return table;
}

void readCallers(SettingsTable &root, EntrySettings &settings)
{
    std::optional<SettingsTable> table = requiredTable(root, "callers");
    if (!table) {
        return;
    }
    http::ServerLimits &limits = settings.callerLimits;
    settings.callerEndpoint = endpointSetting(*table, "address");
    limits.headerBytes = static_cast<std::uint32_t>(table->number("header_bytes", {256, 1024 * 1024}, limits.headerBytes));
    limits.bodyBytes = table->number("body_bytes", {1024, 64ULL * 1024 * 1024}, limits.bodyBytes);
    limits.headerTimeout = milliseconds(*table, "header_timeout_ms", limits.headerTimeout);
    limits.bodyTimeout = milliseconds(*table, "body_timeout_ms", limits.bodyTimeout);
    limits.writeTimeout = milliseconds(*table, "write_timeout_ms", limits.writeTimeout);
    limits.idleTimeout = milliseconds(*table, "idle_timeout_ms", limits.idleTimeout);
    table->rejectUnknownKeys();
}

void readPeers(SettingsTable &root, EntrySettings &settings)
{
    std::optional<SettingsTable> table = requiredTable(root, "peers");
    if (!table) {
        return;
    }
    settings.peerEndpoint = endpointSetting(*table, "address");
    settings.peerTokenFile = table->text("token_file");
    if (!table->text("advertised_address", "").empty()) {
        settings.advertisedPeerEndpoint = endpointSetting(*table, "advertised_address");
    }
    table->rejectUnknownKeys();
}

void readOperators(SettingsTable &root, EntrySettings &settings)
{
    std::optional<SettingsTable> table = requiredTable(root, "operators");
    if (!table) {
        return;
    }
    settings.operatorEndpoint = endpointSetting(*table, "address");
    settings.operatorTokenFile = table->text("token_file");
    table->rejectUnknownKeys();
}

void readUpstreams(SettingsTable &root, upstreams::AttemptTimeouts &timeouts)
{
    std::optional<SettingsTable> table = root.table("upstreams");
    if (!table) {
        return;
    }
    timeouts.connect = milliseconds(*table, "connect_timeout_ms", timeouts.connect);
    timeouts.firstByte = milliseconds(*table, "first_byte_timeout_ms", timeouts.firstByte);
    timeouts.progress = milliseconds(*table, "progress_timeout_ms", timeouts.progress);
    table->rejectUnknownKeys();
}

void readMembership(SettingsTable &root, membership::MembershipSettings &settings)
{
    std::optional<SettingsTable> table = root.table("membership");
    if (!table) {
        return;
    }
    settings.interval = milliseconds(*table, "interval_ms", std::chrono::duration_cast<std::chrono::milliseconds>(settings.interval));
    settings.missedHeartbeats = static_cast<std::uint32_t>(table->number("missed_beats", {2, 1000}, settings.missedHeartbeats));
    settings.bytesPerSecond = static_cast<std::uint32_t>(table->number("bytes_per_second", {100, 1'000'000'000}, settings.bytesPerSecond));
    for (const std::string &text : table->texts("seeds")) {
        const std::optional<http::Endpoint> seed = http::Endpoint::parse(text);
        if (seed) {
            settings.seeds.push_back(*seed);
        } else {
            table->reject("seeds", "must hold IP addresses with ports");
        }
    }
    table->rejectUnknownKeys();
}

void readRetention(SettingsTable &root, requests::RegistryLimits &limits)
{
    std::optional<SettingsTable> table = root.table("retention");
    if (!table) {
        return;
    }
    limits.retention = milliseconds(*table, "finished_ms", limits.retention);
    limits.maxFinished = table->number("max_finished", {1, 10'000'000}, limits.maxFinished);
    table->rejectUnknownKeys();
}

void readBookings(SettingsTable &root, bookings::BookingPolicy &policy)
{
    std::optional<SettingsTable> table = root.table("bookings");
    if (!table) {
        return;
    }
    const std::chrono::milliseconds window = std::chrono::duration_cast<std::chrono::milliseconds>(policy.keyWindow);
    const std::chrono::milliseconds maxWait = std::chrono::duration_cast<std::chrono::milliseconds>(policy.maxWait);
    policy.keyWindow = std::chrono::milliseconds(table->number("key_window_ms", KeyWindowMs, static_cast<std::uint64_t>(window.count())));
    policy.maxWait = milliseconds(*table, "patience_ms", maxWait);
    policy.appendsPerSecond = static_cast<std::uint32_t>(table->number("appends_per_second", {1, 100'000}, policy.appendsPerSecond));
    table->rejectUnknownKeys();
}

}

EntrySettings readEntrySettings(SettingsDocument &document)
{
    EntrySettings settings;
    SettingsTable root = document.root();
    settings.name = root.text("name");
    settings.zone = root.text("zone");
    settings.logLevel = root.logLevel();
    settings.trafficThreads = static_cast<std::uint32_t>(root.number("traffic_threads", ThreadCount, settings.trafficThreads));
    settings.timelineEvents = root.number("timeline_events", {16, 1'000'000}, settings.timelineEvents);
    settings.seed = root.number("seed", {}, 0);
    readCallers(root, settings);
    readPeers(root, settings);
    readOperators(root, settings);
    std::optional<SettingsTable> platform = root.table("platform");
    if (platform) {
        settings.platformEndpoint = endpointSetting(*platform, "address");
        platform->rejectUnknownKeys();
    } else {
        root.reject("platform", "must be given");
    }
    readUpstreams(root, settings.attemptTimeouts);
    readRetention(root, settings.retention);
    readMembership(root, settings.membership);
    readBookings(root, settings.bookings);
    root.rejectUnknownKeys();
    return settings;
}

}
