#pragma once

#include "support/process.h"
#include "support/relay.h"
#include "support/temporaryfolder.h"
#include "support/wire.h"
#include "timeline/timelinetypes.h"

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryshift::testing {

/// Size and settings of a Fleet, fixed when the fleet starts.
struct FleetOptions {
    std::vector<std::string> zones{"miskolc", "eger", "nyiregyhaza"};
    std::size_t entryHostsPerZone = 1;
    std::size_t enginesPerZone = 1;
    std::size_t servicesPerZone = 1;
    std::string engineSettings = "per_token_us = 1000\nfirst_token_us = 1000\n";
    std::string serviceSettings = "work_us = 1000\n";
    std::string callerSettings; ///< Added to the [callers] section of each entry host's settings.
    std::string entrySettings;  ///< Added at the end of each entry host's settings.
    bool relays = false;        ///< Entry hosts reach the platform, services and each other through relays, which can be cut.
    std::string templateText;   ///< Published at the start; a template of one workspace when empty.
};

/// A running stand-in for the platform, an engine or a service.
struct StandinProcess {
    std::unique_ptr<Process> process;
    std::string name;
    std::string zone;
    http::Endpoint endpoint;
    std::unique_ptr<Relay> relay; ///< In front of a service; null without FleetOptions::relays.
};

/// A running entry host and the addresses of its listeners.
struct EntryProcess {
    std::unique_ptr<Relay> platformRelay; ///< Between this host and the platform; null without FleetOptions::relays.
    std::unique_ptr<Relay> peerRelay;     ///< In front of this host's listener for peers; null without FleetOptions::relays.
    std::unique_ptr<Process> process;
    std::string name;
    std::string zone;
    http::Endpoint callers;
    http::Endpoint peers;
    http::Endpoint operators;
};

/// A platform, upstreams and entry hosts as separate processes on loopback, with one template in force on all hosts when the
/// constructor returns.
class Fleet
{
public:
    /// API key of workspace "yard".
    static constexpr const char *CallerKey = "yard-key";

    explicit Fleet(const FleetOptions &options = {});

    StandinProcess &engine(std::size_t index);
    StandinProcess &service(std::size_t index);
    EntryProcess &entry(std::size_t index);
    [[nodiscard]] const http::Endpoint &platform() const;
    [[nodiscard]] std::size_t entries() const;
    [[nodiscard]] std::size_t services() const;

    /// Path of the file that holds the token of operators and peers.
    [[nodiscard]] const std::string &tokenFile() const;
    /// Starts one more entry host in @p zone and waits until it is ready.
    EntryProcess &addEntry(const std::string &zone);
    /// Starts one more entry host with the other hosts' peer addresses as membership seeds; neither waits until it is
    /// ready nor adds it to the platform's list.
    EntryProcess &addSeededEntry(const std::string &zone);
    /// Kills entry host @p index with SIGKILL and removes it from the fleet; the indexes of later hosts decrease by one.
    void killEntry(std::size_t index);
    /// Waits until /readyz of entry host @p index answers with status 200.
    void awaitReady(std::size_t index);
    /// Sets the failure mode of a stand-in, "none" for no failure; @p more holds further JSON members of the request.
    static void setFailureMode(const http::Endpoint &standin, const std::string &mode, const std::string &more = {});
    /// Returns the counters of a stand-in, such as requests started, as JSON.
    static Json::Value standinCounters(const http::Endpoint &standin);
    /// Gives the platform its list of hosts: all of the fleet except those named in @p hidden; @p leaving holds the
    /// milliseconds after which a named host leaves.
    void publishHosts(const std::vector<std::string> &hidden = {}, const std::map<std::string, int> &leaving = {});
    /// Publishes a template through an entry host and returns the body of the host's answer.
    Json::Value publishTemplate(std::size_t entryIndex, const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text);
    /// Makes the request to publish a template, with the operators' token.
    static http::Request publishRequest(const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text);
    /// Makes a caller's request with the API key of the workspace.
    static http::Request callerRequest(const std::string &method, const std::string &target, const std::string &body = {});
    /// Makes the JSON body of a chat request.
    static std::string chatBody(const std::string &model, const std::string &prompt, bool stream, int maxTokens);
    /// Sends a GET request to an entry host's operators listener and returns the body of the answer.
    Json::Value operatorGet(std::size_t entryIndex, const std::string &target);
    /// Returns the timeline events of one entry host.
    std::vector<timeline::TimelineEvent> events(std::size_t entryIndex);

private:
    StandinProcess startStandin(const std::string &program, const std::string &name, const std::string &zone, const std::string &settings);
    EntryProcess startEntry(const std::string &zone, const std::string &membership = {});

    const FleetOptions m_options;
    const TemporaryFolder m_folder;
    std::string m_tokenFile;
    StandinProcess m_platform;
    std::vector<StandinProcess> m_engines;
    std::vector<StandinProcess> m_services;
    std::vector<std::unique_ptr<EntryProcess>> m_entries;
    std::size_t m_entriesStarted = 0;
};

/// The template of workspace "yard" that fleets publish when a test gives none.
std::string yardTemplate();

}
