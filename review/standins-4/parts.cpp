#include "modelserver.h"

#include <random>

using namespace standins;

namespace {

constexpr int Gateways = 8;
constexpr int Servers = 6;
constexpr std::int64_t ContactMs = 3'000;
/// How long a server is down that has crashed.
constexpr std::int64_t DownMs = 2'000;
constexpr std::int64_t EndMs = 85'000;
/// When the requests with the part begin, and the time between two of them.
constexpr std::int64_t CrashingBeginMs = 3'000;
constexpr std::int64_t CrashingPauseMs = 5'000;
constexpr std::int64_t SoundPauseMs = 5;
constexpr std::int64_t DeadlineMs = 5'000;
constexpr std::string_view CrashingPart = "e4402b7d";
/// How many different second parts the prompts have, and how many documents, of which each prompt has some behind it.
constexpr std::size_t Instructions = 9;
constexpr std::size_t Documents = 10'000;
constexpr int DocumentsOfPrompt = 8;

std::string configuration()
{
    return R"({"version":3,"routes":[{"name":"question","host":"yard.example","path_prefix":"/question/","kind":"streaming","timeout_ms":15000,)"
           R"("latency_goal_ms":500,"gap_target_ms":500,"priority":0,"service":"pool","max_attempts":1,"resumable":false,"sticky":true}],)"
           R"("services":[{"name":"pool","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":898864,"stride":5}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"yard","api_keys":["yard-key"],"unit":"tokens","plain_tokens":200,"per_s":0,"burst":0}]})";
}

std::string partId(std::uint32_t number)
{
    char text[9];
    std::snprintf(text, sizeof text, "%08x", number);
    return text;
}

std::vector<std::string> partIds(std::size_t count, std::mt19937 &random)
{
    std::vector<std::string> ids;
    while (ids.size() < count) {
        ids.push_back(partId(static_cast<std::uint32_t>(random())));
    }
    return ids;
}

/// One client attempt. Returns whether it brought a whole answer.
bool send(const std::string &attempt, const std::string &prompt, const Gateway &gateway, int &status)
{
    const Headers headers{{"Host", "yard.example"},
                          {"X-Rosemaryshift-Attempt-Id", attempt},
                          {"X-Rosemaryshift-Deadline-Ms", std::to_string(DeadlineMs)},
                          {"X-Api-Key", "yard-key"},
                          {"X-Rosemaryshift-Model", "m"},
                          {"X-Rosemaryshift-Token-Count", "3112,40"},
                          {"X-Rosemaryshift-Prompt-Prefix", prompt}};
    status = 0;
    const std::unique_ptr<Connection> connection = Connection::open(gateway.address(), gateway.port(), 1'000);
    if (!connection || !connection->send(requestText("POST", "/question/x", headers, R"({"prompt":")" + attempt + R"("})"))) {
        return false;
    }
    const Answer answer = connection->readAnswer(DeadlineMs);
    status = answer.status;
    return answer.status == 200 && answer.complete;
}

/// Ends servers that have to crash, and starts them again, until @p over. Notes the times of the crashes.
void runCrashes(std::vector<std::unique_ptr<ModelServer>> &servers, const std::atomic<bool> &over, std::vector<std::int64_t> &crashes)
{
    std::vector<std::int64_t> restartAt(servers.size(), 0);
    while (!over) {
        for (std::size_t number = 0; number < servers.size(); ++number) {
            if (servers[number]->crashDue() && restartAt[number] == 0) {
                crashes.push_back(nowMs());
                servers[number]->crash();
                restartAt[number] = nowMs() + DownMs;
            } else if (restartAt[number] != 0 && nowMs() >= restartAt[number]) {
                servers[number]->start("v1");
                restartAt[number] = 0;
            }
        }
        sleepMs(1);
    }
}

}

int main(int argc, char **argv)
{
    limitTime(115);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    const Folder temporary;
    Platform platform(record);
    platform.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<ModelServer>("i-" + std::to_string(number), "pool", platform, record, StreamShape{40, 50}));
        servers.back()->setCrashingPart(std::string(CrashingPart));
        servers.back()->start("v1");
    }
    const Gateway::Ports ports = Gateway::freePorts();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int number = 0; number < Gateways; ++number) {
        const Gateway::Settings settings{"edge-" + std::to_string(number), "miskolc-a", "127.0.0." + std::to_string(number + 1), {"127.0.0.1"}, true};
        gateways.push_back(std::make_unique<Gateway>(settings, ports, platform.endpoint(), temporary.path()));
        gateways.back()->start();
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (!gateway->awaitReady(15'000)) {
            record.write(gateway->name() + " does not get ready");
            return 2;
        }
    }
    sleepMs(3'000); // Traffic starts some seconds after the machines do.

    std::atomic<bool> over = false;
    std::vector<std::int64_t> crashes;
    std::thread crasher([&] { runCrashes(servers, over, crashes); });
    std::atomic<int> sound = 0;
    std::atomic<int> soundServed = 0;
    std::atomic<int> soundCut = 0;
    std::atomic<int> waiting = 0; ///< Clients that wait for their answers.
    std::mt19937 random(7);
    const std::vector<std::string> instructions = partIds(Instructions, random);
    const std::vector<std::string> documents = partIds(Documents, random);
    const std::int64_t begin = nowMs();
    std::int64_t nextCrashing = CrashingBeginMs;
    int crashing = 0;
    for (int number = 0; nowMs() - begin < EndMs; ++number) {
        const std::int64_t elapsed = nowMs() - begin;
        const bool crashesServer = withTrouble() && elapsed >= nextCrashing;
        crashing += crashesServer ? 1 : 0;
        nextCrashing += crashesServer ? CrashingPauseMs + static_cast<std::int64_t>(random() % 400) : 0;
        const std::string attempt = (crashesServer ? "crashing-" : "sound-") + std::to_string(number);
        // Sound requests share their caller, their route and their other parts of the prompt with the crashing ones; no two requests are alike.
        std::string prompt = "5c1e07a2:512," + instructions.at(random() % instructions.size()) + ":300,";
        for (int document = 0; document < DocumentsOfPrompt; ++document) {
            prompt += (crashesServer && document == 0 ? std::string(CrashingPart) : documents.at(random() % documents.size())) + ":250,";
        }
        prompt += partId(static_cast<std::uint32_t>(random())) + ":300";
        const Gateway &gateway = *gateways[(crashesServer ? static_cast<std::size_t>(crashing) : random()) % gateways.size()];
        ++waiting;
        std::thread([&, crashesServer, attempt, prompt] {
            int status = 0;
            const bool whole = send(attempt, prompt, gateway, status);
            if (crashesServer) {
                record.write(attempt + " at " + gateway.name() + " gets " + (status == 0 ? "no answer" : std::to_string(status)));
            } else {
                ++sound;
                soundServed += whole ? 1 : 0;
                soundCut += !whole && (status == 200 || status == 502) ? 1 : 0;
            }
            --waiting;
        }).detach();
        sleepMs(SoundPauseMs);
    }
    while (waiting > 0) {
        sleepMs(10);
    }
    over = true;
    crasher.join();

    int arrivals = 0;
    int counted = 0;
    for (const std::unique_ptr<ModelServer> &server : servers) {
        for (const std::int64_t at : server->crashingArrivals()) {
            ++arrivals;
            counted += crashes.size() >= 5 && at > crashes[4] + ContactMs ? 1 : 0;
        }
    }
    record.write(std::to_string(crashing) + " requests with the part came, they reached servers " + std::to_string(arrivals) + " times and crashed them "
                 + std::to_string(crashes.size()) + " times; " + std::to_string(counted) + " times later than contact_ms after the fifth crash");
    record.write("sound requests: " + std::to_string(soundServed) + " of " + std::to_string(sound) + " served, " + std::to_string(soundCut)
                 + " lost after they had been passed on");
    return sound == 0 || (withTrouble() && crashes.empty()) ? 2 : counted > 3 ? 1 : 0;
}
