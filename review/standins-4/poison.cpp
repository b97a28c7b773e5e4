#include "modelserver.h"

#include <csignal>
#include <random>

using namespace standins;

namespace {

constexpr int Gateways = 3;
constexpr int Servers = 8;
constexpr std::int64_t ContactMs = 3'000;
/// How long a server is down that has crashed.
constexpr std::int64_t DownMs = 3'000;
/// The crashing request after whose answer all gateways are killed.
constexpr int KilledAfter = 6;
constexpr std::int64_t KilledForMs = 500;
constexpr std::int64_t EndMs = 85'000;
/// Time after which the request that crashes servers comes again.
constexpr std::int64_t CrashingPauseMs = 4'000;
constexpr std::int64_t SoundPauseMs = 40;
constexpr std::int64_t DeadlineMs = 3'000;
constexpr std::string_view CrashingBody = R"({"prompt":"crashes"})";

std::string route(const std::string &name, bool resumable)
{
    return R"({"name":")" + name + R"(","host":"yard.example","path_prefix":"/)" + name
        + R"(/","kind":"streaming","timeout_ms":15000,"latency_goal_ms":800,"gap_target_ms":500,"priority":1,"service":"pool","max_attempts":)"
        + (resumable ? "2" : "1") + R"(,"resumable":)" + (resumable ? "true" : "false") + R"(,"sticky":true})";
}

std::string configuration()
{
    return R"({"version":3,"routes":[)" + route("plan", true) + "," + route("question", false)
        + R"(],"services":[{"name":"pool","health_path":"/healthz","max_conns":370,"engine":{"slots":64,"kv_capacity":898864,"stride":5}}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
          R"("tenants":[{"name":"yard","api_keys":["yard-key"],"unit":"tokens","plain_tokens":200,"per_s":0,"burst":0}]})";
}

/// One client attempt. Returns whether it brought a whole answer.
bool send(const std::string &attempt, const std::string &name, const std::string &prompt, const std::string &body, const Gateway &gateway, int &status)
{
    const Headers headers{{"Host", "yard.example"},
                          {"X-Rosemaryshift-Attempt-Id", attempt},
                          {"X-Rosemaryshift-Deadline-Ms", std::to_string(DeadlineMs)},
                          {"X-Api-Key", "yard-key"},
                          {"X-Rosemaryshift-Model", "m"},
                          {"X-Rosemaryshift-Token-Count", "1612,50"},
                          {"X-Rosemaryshift-Prompt-Prefix", prompt}};
    status = 0;
    const std::unique_ptr<Connection> connection = Connection::open(gateway.address(), gateway.port(), 1'000);
    if (!connection || !connection->send(requestText("POST", "/" + name + "/x", headers, body))) {
        return false;
    }
    const Answer answer = connection->readAnswer(DeadlineMs);
    status = answer.status;
    return answer.status == 200 && answer.complete;
}

/// Kills all gateways at once, and starts them again.
void killAll(const std::vector<std::unique_ptr<Gateway>> &gateways, Record &record)
{
    record.write("all gateways are killed");
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        gateway->signal(SIGKILL);
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        gateway->awaitEnd(2'000);
    }
    sleepMs(KilledForMs);
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        gateway->start();
    }
    record.write("all gateways are started again");
}

}

int main(int argc, char **argv)
{
    limitTime(118);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    const Folder temporary;
    Platform platform(record);
    platform.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<ModelServer>("i-" + std::to_string(number), "pool", platform, record, StreamShape{12, 50}));
        servers.back()->setCrashingBody(std::string(CrashingBody));
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
    std::vector<std::int64_t> crashes; ///< Times at which the request has crashed a server.
    std::thread crasher([&] {
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
    });
    std::atomic<int> sound = 0;
    std::atomic<int> soundServed = 0;
    std::atomic<int> soundCut = 0;
    std::int64_t startedAt = 0; ///< When the gateways were started again; 0 when they were not killed.
    std::vector<std::thread> clients;
    std::mt19937 random(7);
    const std::int64_t begin = nowMs();
    int crashing = 0;
    std::int64_t nextCrashing = CrashingPauseMs;
    for (int number = 0; nowMs() - begin < EndMs; ++number) {
        const std::int64_t elapsed = nowMs() - begin;
        if (withTrouble() && startedAt == 0 && crashing == KilledAfter && elapsed >= nextCrashing - CrashingPauseMs + 100) {
            killAll(gateways, record);
            startedAt = nowMs();
            nextCrashing = startedAt - begin + ContactMs + 300; // All gateways are in touch when it comes again.
        }
        const bool crashesServer = elapsed >= nextCrashing;
        crashing += crashesServer ? 1 : 0;
        nextCrashing += crashesServer ? CrashingPauseMs : 0;
        const std::string attempt = (crashesServer ? "crashing-" : "sound-") + std::to_string(number);
        // Sound requests share their caller, their route and their parts of the prompt with the crashing one, but for the last.
        const std::string last = crashesServer ? "c0ffee" : std::to_string(100'000 + number);
        const std::string prompt = "a000001:512,b00000" + std::to_string(crashesServer ? 7 : random() % 9) + ":800," + last + ":300";
        const std::string body = crashesServer ? std::string(CrashingBody) : R"({"prompt":")" + attempt + R"("})";
        // "At any machine": the crashing request comes at one after the other.
        const Gateway &gateway = *gateways[(crashesServer ? static_cast<std::size_t>(crashing) : random()) % gateways.size()];
        clients.emplace_back([&, crashesServer, attempt, prompt, body] {
            int status = 0;
            const bool whole = send(attempt, "question", prompt, body, gateway, status);
            if (crashesServer) {
                record.write(attempt + " at " + gateway.name() + " gets " + (status == 0 ? "no answer" : std::to_string(status)));
                return;
            }
            ++sound;
            soundServed += whole ? 1 : 0;
            soundCut += !whole && (status == 200 || status == 502) ? 1 : 0;
        });
        sleepMs(SoundPauseMs);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    over = true;
    crasher.join();

    int counted = 0;
    for (const std::int64_t at : crashes) {
        const bool late = crashes.size() >= 3 && at > crashes[2] + ContactMs;
        const bool inTouch = startedAt == 0 || at < startedAt - KilledForMs || at > startedAt + ContactMs;
        counted += late && inTouch ? 1 : 0;
    }
    record.write("the request came " + std::to_string(crashing) + " times, reached servers " + std::to_string(crashes.size()) + " times and crashed them; "
                 + std::to_string(counted) + " times later than contact_ms after the third crash, sent by machines in touch");
    record.write("sound requests: " + std::to_string(soundServed) + " of " + std::to_string(sound) + " served, " + std::to_string(soundCut)
                 + " lost after they had been passed on");
    return crashes.size() < 3 ? 2 : counted > 3 ? 1 : 0;
}
