#include "measure/scenario.h"

#include "base/text.h"

#include <cmath>

namespace rosemaryshift::measure {

namespace {

constexpr NumberRange CountRange{1, 10'000};
constexpr NumberRange TokenRange{0, 1'000'000};
constexpr NumberRange MicrosecondRange{0, 3'600'000'000};
constexpr NumberRange MillisecondRange{0, 3'600'000};

std::uint32_t count(SettingsTable &table, std::string_view key, NumberRange range)
{
    return static_cast<std::uint32_t>(table.number(key, range));
}

Duration microseconds(SettingsTable &table, std::string_view key)
{
    return Duration(table.number(key, MicrosecondRange));
}

Duration milliseconds(SettingsTable &table, std::string_view key)
{
    return std::chrono::milliseconds(table.number(key, MillisecondRange, 0));
}

UpstreamGroup readUpstreams(SettingsTable &table)
{
    UpstreamGroup group;
    group.name = table.text("name");
    group.perZone = count(table, "per_zone", CountRange);
    group.service = table.flag("service", false);
    group.slots = count(table, "slots", CountRange);
    group.perToken = microseconds(table, "per_token_us");
    group.batchSlope = table.real("batch_slope", {0, 10}, 0);
    group.prefillWork = table.real("prefill_work", {0, 10}, 0);
    group.cachedPrefixes = table.number("cached_prefixes", TokenRange, 0);
    group.price = table.real("price", {0, 1'000});
    table.rejectUnknownKeys();
    return group;
}

ClassLoad readClass(SettingsTable &table)
{
    ClassLoad load;
    const std::optional<TrafficClass> trafficClass = trafficClassFromName(table.text("class"));
    if (!trafficClass) {
        table.reject("class", "is not a traffic class");
    }
    load.trafficClass = trafficClass.value_or(TrafficClass::Question);
    load.share = table.real("share", {0, 1});
    load.promptTokens = static_cast<std::uint32_t>(table.number("prompt_tokens", TokenRange, 0));
    load.prefixTokens = static_cast<std::uint32_t>(table.number("prefix_tokens", TokenRange, 0));
    load.medianTokens = table.real("median_tokens", {1, 1e6}, 1);
    load.spread = table.real("spread", {0, 3}, 0);
    load.firstToken = milliseconds(table, "first_token_ms");
    load.deadline = milliseconds(table, "deadline_ms");
    load.idempotent = table.flag("idempotent", true);
    table.rejectUnknownKeys();
    return load;
}

WorkspaceLoad readWorkspace(SettingsTable &table)
{
    WorkspaceLoad load;
    load.name = table.text("name");
    load.weight = table.real("weight", {0, 1'000});
    load.maxInFlight = count(table, "max_in_flight", TokenRange);
    load.maxQueued = count(table, "max_queued", TokenRange);
    table.rejectUnknownKeys();
    return load;
}

}

bool ClassLoad::service() const
{
    return trafficClass == TrafficClass::Lookup || trafficClass == TrafficClass::Booking;
}

double ClassLoad::meanTokens() const
{
    return medianTokens * std::exp(spread * spread / 2);
}

double Scenario::capacity() const
{
    double tokensPerSecond = 0;
    double prefillWork = 0;
    for (const UpstreamGroup &group : upstreams) {
        if (!group.service) {
            const double step = std::chrono::duration<double>(group.perToken).count() * (1 + group.batchSlope * (group.slots - 1));
            tokensPerSecond += group.perZone * zones * group.slots / step;
            prefillWork = group.prefillWork;
        }
    }
    double work = 0;
    for (const ClassLoad &load : classes) {
        if (!load.service()) {
            work += load.share * (load.meanTokens() + prefillWork * (load.promptTokens - load.prefixTokens));
        }
    }
    return tokensPerSecond / work;
}

Scenario readScenario(SettingsDocument &document)
{
    Scenario scenario;
    SettingsTable root = document.root();
    scenario.name = root.text("name");
    scenario.zones = count(root, "zones", CountRange);
    scenario.entryHosts = count(root, "entry_hosts", CountRange);
    scenario.zoneDelay = microseconds(root, "zone_delay_us");
    scenario.reportEvery = milliseconds(root, "report_every_ms");
    scenario.reportLag = milliseconds(root, "report_lag_ms");
    for (SettingsTable &table : root.tables("upstreams")) {
        scenario.upstreams.push_back(readUpstreams(table));
    }
    for (SettingsTable &table : root.tables("classes")) {
        scenario.classes.push_back(readClass(table));
    }
    for (SettingsTable &table : root.tables("workspaces")) {
        scenario.workspaces.push_back(readWorkspace(table));
    }
    root.rejectUnknownKeys();
    return scenario;
}

}
