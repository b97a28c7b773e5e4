#include "support/bookings.h"

#include "base/json.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemaryshift::testing {

namespace {

constexpr int ShortDeadlineMs = 300;

Json::Value bodyOf(const http::Response &response)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(response.body, reason);
    INFO(response.body);
    REQUIRE(value);
    return *value;
}

}

FleetOptions bookingOptions()
{
    FleetOptions options;
    options.zones = {"miskolc", "eger"};
    options.relays = true;
    options.entrySettings = "[upstreams]\nfirst_byte_timeout_ms = 30000\n[bookings]\npatience_ms = 20000\n";
    return options;
}

http::Request booking(const std::string &key, const std::string &crate, int deadlineMs)
{
    http::Request request = Fleet::callerRequest("POST", "/services/dispatch/pickups", crate);
    request.headers.add("Idempotency-Key", key);
    if (deadlineMs > 0) {
        request.headers.add("Rosemaryshift-Deadline-Ms", std::to_string(deadlineMs));
    }
    return request;
}

http::Response book(Fleet &fleet, std::size_t entryIndex, const std::string &key, const std::string &crate)
{
    return exchange(fleet.entry(entryIndex).callers, booking(key, crate));
}

http::Response bookWithShortDeadline(Fleet &fleet, std::size_t entryIndex, const std::string &key)
{
    return exchange(fleet.entry(entryIndex).callers, booking(key, "crate 7", ShortDeadlineMs));
}

http::Response bookUntil(Fleet &fleet, std::size_t entryIndex, const std::string &key, int status)
{
    http::Response response;
    awaitCondition("an answer with status " + std::to_string(status), [&] {
        response = book(fleet, entryIndex, key);
        return response.status == status;
    });
    return response;
}

void unlistServices(Fleet &fleet, std::size_t entryIndex)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        names.push_back(fleet.service(i).name);
    }
    fleet.publishHosts(names);
    awaitCondition("the entry host to notice that all services are gone", [&] {
        const std::vector<timeline::TimelineEvent> events = fleet.events(entryIndex);
        return names.size() <= static_cast<std::size_t>(std::ranges::count_if(events, [&](const timeline::TimelineEvent &event) {
                   return event.kind == timeline::EventKind::UpstreamGone && std::ranges::find(names, event.fields.upstream) != names.end();
               }));
    });
}

std::string requestTicket(Fleet &fleet, std::size_t entryIndex)
{
    const http::Response response = exchange(fleet.entry(entryIndex).callers, Fleet::callerRequest("POST", "/v1/tickets"));
    REQUIRE(response.status == 201);
    return bodyOf(response)["ticket"].asString();
}

std::string runStatusOf(const http::Response &response)
{
    return std::string(response.headers.find("Rosemaryshift-Run").value_or(""));
}

std::string errorCodeOf(const http::Response &response)
{
    return bodyOf(response)["error"]["code"].asString();
}

std::uint64_t runCountOf(Fleet &fleet, const std::string &key)
{
    std::uint64_t runs = 0;
    for (std::size_t i = 0; i < fleet.services(); ++i) {
        runs += Fleet::standinCounters(fleet.service(i).endpoint)["keys"][key].asUInt64();
    }
    return runs;
}

void awaitRunCount(Fleet &fleet, const std::string &key, std::uint64_t runs)
{
    awaitCondition("the expected number of runs at the services", [&] { return runCountOf(fleet, key) == runs; });
}

std::size_t loggedRecordCount(const Fleet &fleet, const std::string &kind)
{
    const Json::Value page = bodyOf(exchange(fleet.platform(), makeRequest("GET", "/v1/log?from=0")));
    std::size_t count = 0;
    for (const Json::Value &record : page["records"]) {
        std::string reason;
        const std::optional<Json::Value> data = parseJson(record["data"].asString(), reason);
        count += data && (*data)["kind"] == kind ? 1 : 0;
    }
    return count;
}

void awaitLogged(const Fleet &fleet, const std::string &kind, std::size_t count)
{
    awaitCondition("log records of kind " + kind, [&] { return loggedRecordCount(fleet, kind) >= count; });
}

}
