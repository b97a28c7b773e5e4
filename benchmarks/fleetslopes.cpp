#include "processusage.h"

#include "base/json.h"
#include "support/fleet.h"
#include "timeline/itimeline.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <thread>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr std::size_t Zones = 3;
constexpr std::uint64_t Changes = 20;
constexpr std::chrono::seconds IdleTime{10};
constexpr std::size_t LogPages = 20;
constexpr std::size_t RecordsPerPage = 1'000;
constexpr std::chrono::seconds QuestionPeriod{60};

FleetOptions fleetOf(std::size_t hosts)
{
    FleetOptions options;
    options.entryHostsPerZone = hosts / Zones;
    options.relays = true;
    return options;
}

void awaitAllPeers(Fleet &fleet)
{
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        awaitCondition("all peers", [&] { return fleet.operatorGet(i, "/v1/status")["peers"].size() + 1 == fleet.entries(); });
    }
}

/// Time at which each template revision came into force on a host, in milliseconds since 1970.
std::map<std::uint64_t, std::int64_t> inForceTimes(Fleet &fleet, std::size_t host)
{
    std::map<std::uint64_t, std::int64_t> times;
    for (const timeline::TimelineEvent &event : fleet.events(host)) {
        if (event.kind == timeline::EventKind::TemplateInForce) {
            times[std::stoull(event.fields.detail.substr(std::string("revision ").size()))] = event.stamp.wallMs;
        }
    }
    return times;
}

/// Publishes template changes, each through the next host. Gives the sorted times in milliseconds from each publishing call
/// until the change was in force on all hosts.
std::vector<std::int64_t> propagationTimes(Fleet &fleet)
{
    std::map<std::uint64_t, std::int64_t> calledAt;
    for (std::uint64_t revision = 2; revision < 2 + Changes; ++revision) {
        calledAt[revision] = timeline::systemWallMs();
        const std::string change = "change " + std::to_string(revision);
        REQUIRE(fleet.publishTemplate(revision % fleet.entries(), "yard", revision - 1, change, yardTemplate())["revision"].asUInt64() == revision);
    }
    std::vector<std::int64_t> times(Changes, 0);
    for (std::size_t host = 0; host < fleet.entries(); ++host) {
        awaitCondition("the last change", [&] { return inForceTimes(fleet, host).contains(1 + Changes); });
        const std::map<std::uint64_t, std::int64_t> inForce = inForceTimes(fleet, host);
        for (const auto &[revision, time] : calledAt) {
            times[revision - 2] = std::max(times[revision - 2], inForce.at(revision) - time);
        }
    }
    std::ranges::sort(times);
    return times;
}

/// Bytes that the entry hosts have sent to each other so far, over all hosts.
std::uint64_t peerBytes(Fleet &fleet)
{
    std::uint64_t bytes = 0;
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        bytes += fleet.entry(i).peerRelay->forwardedBytes();
    }
    return bytes;
}

/// Processor time of the control threads of all entry hosts so far, in seconds.
double controlSeconds(Fleet &fleet)
{
    double seconds = 0;
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        seconds += usageOf(fleet.entry(i)).controlSeconds;
    }
    return seconds;
}

/// Appends many pages of other records to the log, publishes the template again and drops the first record of the log, so that a
/// starting host reads the template last.
void fillLog(Fleet &fleet)
{
    Json::Value page;
    for (std::size_t i = 0; i < RecordsPerPage; ++i) {
        page["records"].append("{}");
    }
    for (std::size_t i = 0; i < LogPages; ++i) {
        REQUIRE(exchange(fleet.platform(), makeRequest("POST", "/v1/log", toText(page))).status == 200);
    }
    REQUIRE(fleet.publishTemplate(0, "yard", 1, "second", yardTemplate())["revision"] == 2);
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/truncate", R"({"oldest":1})")).status == 200);
}

/// Starts a host, sends it questions for QuestionPeriod from its readiness on, and prints the time to readiness and how many
/// questions it refused.
void measureStart(Fleet &fleet, std::string_view label)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const EntryProcess &entry = fleet.addSeededEntry("eger");
    fleet.awaitReady(fleet.entries() - 1);
    const std::chrono::steady_clock::time_point ready = std::chrono::steady_clock::now();
    std::size_t asked = 0;
    std::size_t refused = 0;
    while (std::chrono::steady_clock::now() < ready + QuestionPeriod) {
        const http::Request question = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", false, 2));
        refused += exchange(entry.callers, question).status == 200 ? 0 : 1;
        ++asked;
    }
    std::printf("%s: ready after %.0f ms; %zu of %zu questions refused in the first minute\n",
                std::string(label).c_str(),
                std::chrono::duration<double, std::milli>(ready - start).count(),
                refused,
                asked);
}

}

TEST_CASE("Time to readiness and refused questions of a host that starts beside running hosts")
{
    Fleet fleet;
    fillLog(fleet);
    Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":200");
    measureStart(fleet, "beside other hosts");
}

TEST_CASE("Time to readiness and refused questions of a host that starts after all hosts were killed")
{
    Fleet fleet;
    fillLog(fleet);
    while (fleet.entries() > 0) {
        fleet.killEntry(0);
    }
    Fleet::setFailureMode(fleet.platform(), "slow", "\"factor\":200");
    measureStart(fleet, "after all hosts were lost");
}

TEST_CASE("Time until a template is in force on all hosts, and traffic and processor time of heartbeats")
{
    for (const std::size_t hosts : {3, 9, 30, 60}) {
        Fleet fleet(fleetOf(hosts));
        awaitAllPeers(fleet);
        const std::vector<std::int64_t> propagation = propagationTimes(fleet);
        const std::uint64_t bytesBefore = peerBytes(fleet);
        const double controlBefore = controlSeconds(fleet);
        std::this_thread::sleep_for(IdleTime);
        const double perHost = 1 / static_cast<double>(hosts) / std::chrono::duration<double>(IdleTime).count();
        // The traffic is doubled, since each byte is sent by one host and received by another.
        std::printf("%zu hosts: a change in force on all after %lld ms (p50) and %lld ms (max); each host: %.0f bytes/s with peers, %.2f%% of a core for "
                    "control, %.1f MB resident\n",
                    hosts,
                    static_cast<long long>(propagation[propagation.size() / 2]),
                    static_cast<long long>(propagation.back()),
                    2 * static_cast<double>(peerBytes(fleet) - bytesBefore) * perHost,
                    (controlSeconds(fleet) - controlBefore) * perHost * 100,
                    usageOf(fleet.entry(0)).residentKb / 1024);
    }
}
