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

/// Settings of the fleet that a test may change before it starts.
struct FleetOptions {
    std::vector<std::string> zones{"miskolc", "eger", "nyiregyhaza"};
    std::size_t entryHostsPerZone = 1;
    std::size_t enginesPerZone = 1;
    std::size_t servicesPerZone = 1;
    std::string engineSettings = "per_token_us = 1000\nfirst_token_us = 1000\n";
    std::string serviceSettings = "work_us = 1000\n";
    std::string callerSettings; ///< Added to the callers' listener of each entry host.
    std::string entrySettings;  ///< Added at the end of each entry host's settings.
    bool relays = false;        ///< Entry hosts reach the platform, services and each other through relays, which can be cut.
    std::string templateText;   ///< Published at the start; a template of one workspace when empty.
};

struct StandinProcess {
    std::unique_ptr<Process> process;
    std::string name;
    std::string zone;
    http::Endpoint endpoint;
    std::unique_ptr<Relay> relay; ///< Before a service, with FleetOptions::relays.
};

struct EntryProcess {
    std::unique_ptr<Relay> platformRelay; ///< Between this host and the platform, with FleetOptions::relays.
    std::unique_ptr<Relay> peerRelay;     ///< Before this host's listener for peers, with FleetOptions::relays.
    std::unique_ptr<Process> process;
    std::string name;
    std::string zone;
    http::Endpoint callers;
    http::Endpoint peers;
    http::Endpoint operators;
};

/// A platform, upstreams and entry hosts as separate processes on loopback, with one template in force on all hosts.
class Fleet
{
public:
    /// Key of the callers' workspace.
    static constexpr const char *CallerKey = "yard-key";

    explicit Fleet(const FleetOptions &options = {});

    StandinProcess &engine(std::size_t index);
    StandinProcess &service(std::size_t index);
    EntryProcess &entry(std::size_t index);
    [[nodiscard]] const http::Endpoint &platform() const;
    [[nodiscard]] std::size_t entries() const;
    [[nodiscard]] std::size_t services() const;

    /// File that holds the operators' and peers' token.
    [[nodiscard]] const std::string &tokenFile() const;
    /// Starts one more entry host in @p zone and waits until it is ready.
    EntryProcess &addEntry(const std::string &zone);
    /// Starts one more entry host that is told the listeners of the others as seeds; does not wait, and leaves the
    /// platform's list as it is.
    EntryProcess &addSeededEntry(const std::string &zone);
    /// Ends entry host @p index, with SIGKILL, and forgets it.
    void killEntry(std::size_t index);
    /// Waits until entry host @p index answers ready.
    void awaitReady(std::size_t index);
    /// Tells a stand-in to fail.
    static void setFailureMode(const http::Endpoint &standin, const std::string &mode, const std::string &more = {});
    /// Counters of a stand-in.
    static Json::Value standinCounters(const http::Endpoint &standin);
    /// Shows the whole list of hosts to the platform, without the upstreams named in @p hidden and with those in @p leaving leaving.
    void publishHosts(const std::vector<std::string> &hidden = {}, const std::map<std::string, int> &leaving = {});
    /// Publishes a template through an entry host and gives the host's answer.
    Json::Value publishTemplate(std::size_t entryIndex, const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text);
    /// The request by which publishTemplate() publishes.
    static http::Request publishRequest(const std::string &workspace, std::uint64_t base, const std::string &changeId, const std::string &text);
    /// A caller's request with the workspace's key.
    static http::Request callerRequest(const std::string &method, const std::string &target, const std::string &body = {});
    /// Body of a chat request.
    static std::string chatBody(const std::string &model, const std::string &prompt, bool stream, int maxTokens);
    /// Body of an operator's answer.
    Json::Value operatorGet(std::size_t entryIndex, const std::string &target);
    /// Events of one entry host.
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
