#include "support/fleet.h"

#include "base/json.h"
#include "base/text.h"
#include "timeline/timelinejson.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

namespace rosemaryshift::testing {

namespace {

constexpr const char *Token = "operators-token";

http::Endpoint endpointIn(const std::string &line, const std::string &key)
{
    const std::optional<http::Endpoint> endpoint = http::Endpoint::parse(Process::valueIn(line, key));
    REQUIRE(endpoint);
    return *endpoint;
}

Json::Value parsed(const http::Response &response)
{
    std::string reason;
    const std::optional<Json::Value> value = parseJson(response.body, reason);
    INFO(response.body);
    REQUIRE(value);
    return *value;
}

Json::Value hostRow(const std::string &name, const std::string &kind, const std::string &zone, const http::Endpoint &endpoint)
{
    Json::Value row;
    row["name"] = name;
    row["kind"] = kind;
    row["zone"] = zone;
    row["address"] = endpoint.text();
    row["machine_class"] = "standard";
    row["price"] = 1.0;
    row["slots"] = 8;
    return row;
}

}

std::string yardTemplate()
{
    return "workspace = \"yard\"\nkey_sha256 = [\"" + sha256Hex(Fleet::CallerKey)
        + "\"]\n[limits]\nrequests_in_flight = 120\nrequests_queued = 120\n[[models]]\nname = \"yard-small\"\n"
          "[[models]]\nname = \"plan-large\"\ndefault_class = \"plan\"\n[[services]]\nname = \"dispatch\"\nidempotent_posts = [\"/search\"]\n";
}

Fleet::Fleet(const FleetOptions &options)
    : m_options(options)
    , m_tokenFile(m_folder.write("token", Token))
    , m_platform(startStandin("platform", "platform", "", ""))
{
    for (const std::string &zone : m_options.zones) {
        for (std::size_t i = 0; i < m_options.enginesPerZone; ++i) {
            m_engines.push_back(startStandin("engine", "engine-" + std::to_string(m_engines.size() + 1), zone, m_options.engineSettings));
        }
        for (std::size_t i = 0; i < m_options.servicesPerZone; ++i) {
            m_services.push_back(startStandin("service", "service-" + std::to_string(m_services.size() + 1), zone, m_options.serviceSettings));
            if (m_options.relays) {
                m_services.back().relay = std::make_unique<Relay>(m_services.back().endpoint);
            }
        }
        for (std::size_t i = 0; i < m_options.entryHostsPerZone; ++i) {
            m_entries.push_back(std::make_unique<EntryProcess>(startEntry(zone)));
        }
    }
    publishHosts();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        awaitReady(i);
        awaitCondition("all upstreams listed by entry host " + entry(i).name,
                       [&] { return operatorGet(i, "/v1/status")["upstreams"].size() == m_engines.size() + m_services.size(); });
    }
    const Json::Value answer = publishTemplate(0, "yard", 0, "initial", m_options.templateText.empty() ? yardTemplate() : m_options.templateText);
    REQUIRE(answer["verdict"] == "accepted");
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        awaitCondition("the initial template on every host", [&] { return operatorGet(i, "/v1/status")["templates"].size() == 1; });
    }
}

StandinProcess Fleet::startStandin(const std::string &program, const std::string &name, const std::string &zone, const std::string &settings)
{
    const std::string naming = program == "platform" ? "" : "name = \"" + name + "\"\n";
    const std::string file = m_folder.write(name + ".toml", naming + "address = \"127.0.0.1:0\"\n" + settings);
    StandinProcess standin;
    standin.process = std::make_unique<Process>("rosemaryshift-standin-" + program, std::vector<std::string>{"--settings", file});
    standin.name = name;
    standin.zone = zone;
    standin.endpoint = endpointIn(standin.process->awaitLine("event=listening"), "address");
    return standin;
}

EntryProcess Fleet::startEntry(const std::string &zone, const std::string &membership)
{
    EntryProcess entry;
    entry.name = "entry-" + std::to_string(++m_entriesStarted);
    entry.zone = zone;
    const std::string listener = "address = \"127.0.0.1:0\"\n";
    const std::string token = "token_file = \"" + m_tokenFile + "\"\n";
    std::string advertised;
    http::Endpoint platform = m_platform.endpoint;
    if (m_options.relays) {
        entry.platformRelay = std::make_unique<Relay>(platform);
        platform = entry.platformRelay->endpoint();
        entry.peerRelay = std::make_unique<Relay>(http::Endpoint{"127.0.0.1", 0});
        advertised = "advertised_address = \"" + entry.peerRelay->endpoint().text() + "\"\n";
    }
    const std::string file = m_folder.write(entry.name + ".toml",
                                            "name = \"" + entry.name + "\"\nzone = \"" + zone + "\"\nseed = 1\n[callers]\n" + listener
                                                + m_options.callerSettings + "[peers]\n" + listener + token + advertised + "[operators]\n" + listener + token
                                                + "[platform]\naddress = \"" + platform.text() + "\"\n" + membership + m_options.entrySettings);
    entry.process = std::make_unique<Process>("rosemaryshift-entry", std::vector<std::string>{"--settings", file});
    const std::string line = entry.process->awaitLine("event=listening");
    entry.callers = endpointIn(line, "callers");
    entry.peers = endpointIn(line, "peers");
    entry.operators = endpointIn(line, "operators");
    if (entry.peerRelay) {
        entry.peerRelay->setTarget(entry.peers);
        entry.peers = entry.peerRelay->endpoint();
    }
    return entry;
}

EntryProcess &Fleet::addEntry(const std::string &zone)
{
    m_entries.push_back(std::make_unique<EntryProcess>(startEntry(zone)));
    publishHosts();
    awaitReady(m_entries.size() - 1);
    return *m_entries.back();
}

EntryProcess &Fleet::addSeededEntry(const std::string &zone)
{
    std::string seeds;
    for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
        seeds += (seeds.empty() ? "\"" : ", \"") + entry->peers.text() + "\"";
    }
    m_entries.push_back(std::make_unique<EntryProcess>(startEntry(zone, "[membership]\nseeds = [" + seeds + "]\n")));
    return *m_entries.back();
}

void Fleet::killEntry(std::size_t index)
{
    entry(index).process->signal(SIGKILL);
    entry(index).process->awaitExit();
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(index));
}

void Fleet::awaitReady(std::size_t index)
{
    awaitCondition("readiness of entry host " + entry(index).name,
                   [&] { return exchange(entry(index).operators, makeRequest("GET", "/readyz")).status == 200; });
}

StandinProcess &Fleet::engine(std::size_t index)
{
    return m_engines.at(index);
}

StandinProcess &Fleet::service(std::size_t index)
{
    return m_services.at(index);
}

EntryProcess &Fleet::entry(std::size_t index)
{
    return *m_entries.at(index);
}

const http::Endpoint &Fleet::platform() const
{
    return m_platform.endpoint;
}

const std::string &Fleet::tokenFile() const
{
    return m_tokenFile;
}

std::size_t Fleet::entries() const
{
    return m_entries.size();
}

std::size_t Fleet::services() const
{
    return m_services.size();
}

void Fleet::setFailureMode(const http::Endpoint &standin, const std::string &mode, const std::string &more)
{
    const std::string body = "{\"mode\":\"" + mode + "\"" + (more.empty() ? "" : "," + more) + "}";
    REQUIRE(exchange(standin, makeRequest("PUT", "/standin/failure", body)).status == 200);
}

Json::Value Fleet::standinCounters(const http::Endpoint &standin)
{
    return parsed(exchange(standin, makeRequest("GET", "/standin/runs")));
}

void Fleet::publishHosts(const std::vector<std::string> &hidden, const std::map<std::string, int> &leaving)
{
    Json::Value body;
    body["hosts"] = Json::Value(Json::arrayValue);
    const auto add = [&](Json::Value row) {
        const std::string name = row["name"].asString();
        if (std::ranges::find(hidden, name) != hidden.end()) {
            return;
        }
        const std::map<std::string, int>::const_iterator found = leaving.find(name);
        if (found != leaving.end()) {
            row["leaves_in_ms"] = found->second;
        }
        body["hosts"].append(std::move(row));
    };
    for (const StandinProcess &engine : m_engines) {
        Json::Value row = hostRow(engine.name, "engine", engine.zone, engine.endpoint);
        row["targets"].append("yard-small");
        row["targets"].append("plan-large");
        add(std::move(row));
    }
    for (const StandinProcess &service : m_services) {
        Json::Value row = hostRow(service.name, "service", service.zone, service.relay ? service.relay->endpoint() : service.endpoint);
        row["targets"].append("dispatch");
        add(std::move(row));
    }
    for (const std::unique_ptr<EntryProcess> &entry : m_entries) {
        add(hostRow(entry->name, "entry", entry->zone, entry->peers));
    }
    REQUIRE(exchange(m_platform.endpoint, makeRequest("PUT", "/standin/hosts", toText(body))).status == 200);
}

http::Request Fleet::publishRequest(const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text)
{
    Json::Value body;
    body["workspace"] = workspace;
    body["base"] = Json::UInt64(base);
    body["change"] = changeId;
    body["author"] = "committee";
    body["text"] = text;
    http::Request request = makeRequest("POST", "/v1/templates", toText(body));
    request.headers.add("Authorization", std::string("Bearer ") + Token);
    return request;
}

Json::Value
Fleet::publishTemplate(std::size_t entryIndex, const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text)
{
    return parsed(exchange(entry(entryIndex).operators, publishRequest(workspace, base, changeId, text)));
}

http::Request Fleet::callerRequest(const std::string &method, const std::string &target, const std::string &body)
{
    http::Request request = makeRequest(method, target, body);
    request.headers.add("Authorization", std::string("Bearer ") + CallerKey);
    return request;
}

std::string Fleet::chatBody(const std::string &model, const std::string &prompt, bool stream, int maxTokens)
{
    Json::Value message;
    message["role"] = "user";
    message["content"] = prompt;
    Json::Value body;
    body["model"] = model;
    body["stream"] = stream;
    body["max_tokens"] = maxTokens;
    body["messages"].append(message);
    return toText(body);
}

Json::Value Fleet::operatorGet(std::size_t entryIndex, const std::string &target)
{
    http::Request request = makeRequest("GET", target);
    request.headers.add("Authorization", std::string("Bearer ") + Token);
    return parsed(exchange(entry(entryIndex).operators, request));
}

std::vector<timeline::TimelineEvent> Fleet::events(std::size_t entryIndex)
{
    std::size_t skipped = 0;
    const std::optional<timeline::TimelinePage> page = timeline::pageFromJson(operatorGet(entryIndex, "/timeline"), skipped);
    REQUIRE(page);
    CHECK(skipped == 0);
    return page->events;
}

}
