// Servers are upgraded in place while the store turns one entry host away: streams must not go on at a server that runs another version by now.

#include "../support-2/lab.h"

#include <cstdlib>
#include <memory>
#include <set>
#include <thread>

using namespace lab;

namespace {

constexpr int Servers = 4;
constexpr int Streams = 40;
/// The rule: more than two streams.
constexpr int Allowed = 2;

/// The versions that made the events of an answer.
std::set<std::string> versionsOf(const std::string &body)
{
    std::set<std::string> versions;
    std::size_t at = 0;
    while ((at = body.find("data: ", at)) != std::string::npos) {
        const std::string maker = body.substr(at + 6, body.find('\n', at) - at - 6);
        versions.insert(maker.substr(maker.find(' ') + 1));
        ++at;
    }
    return versions;
}

}

int main(int count, char **arguments)
{
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    openRecord(count > 1 ? arguments[1] : "record.txt");
    Platform platform(2);
    StreamShape shape;
    shape.events = 60;
    shape.pause = milliseconds(60);
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<ModelServer>(platform, "model-" + std::to_string(number), "model", "v1", shape));
    }
    platform.put("keyed.op", "config", configuration(2, {route("plan", "streaming", "model", 2, true, 15000)}, {"model"}));
    const int ports = freePorts();
    Gateway turnedAway("edge-1", "127.0.0.1", {"127.0.0.1"}, platform, ports, 0);
    Gateway other("edge-2", "127.0.0.2", {"127.0.0.1"}, platform, ports, 1);
    if (!turnedAway.awaitReady() || !other.awaitReady()) {
        record("a gateway is not ready");
        finish(2);
    }
    rest(milliseconds(3000));
    if (trouble) {
        platform.setRejecting(0, true);
        record("the store turns edge-1 away");
    }
    rest(milliseconds(300));
    const auto upgrade = [&servers](int number) {
        servers[static_cast<std::size_t>(number)]->crash();
        rest(milliseconds(200));
        servers[static_cast<std::size_t>(number)]->start("v2");
    };
    upgrade(0);
    upgrade(1);
    rest(milliseconds(1200));

    std::atomic<int> mixed = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int stream = 0; stream < Streams; ++stream) {
        callers.emplace_back([&, stream] {
            const Gateway &gateway = stream % 2 == 0 ? turnedAway : other;
            const std::string attempt = "s" + std::to_string(stream);
            Connection connection(gateway.host(), gateway.port());
            connection.send(
                requestHead("POST", "/plan/x", attempt, 15000, "X-Rosemaryshift-Model: m\r\nX-Rosemaryshift-Token-Count: 1460,300\r\nContent-Length: 2\r\n")
                + "{}");
            const Message answer = connection.readAnswer(Clock::now() + std::chrono::seconds(16));
            const std::set<std::string> versions = versionsOf(answer.body);
            std::string text;
            for (const std::string &version : versions) {
                text += " " + version;
            }
            record("caller " + attempt + " at " + gateway.host() + ": status " + std::to_string(answer.status())
                   + (answer.complete ? ", complete" : ", broken off") + ", made by versions:" + text);
            mixed += versions.size() > 1 ? 1 : 0;
            answered += versions.empty() ? 0 : 1;
        });
        rest(milliseconds(20));
    }
    rest(milliseconds(300));
    upgrade(2);
    rest(milliseconds(300));
    upgrade(3);
    rest(milliseconds(500));
    if (trouble) {
        platform.setRejecting(0, false);
        record("the store serves edge-1 again");
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record("streams that hold events of two versions: " + std::to_string(mixed) + " (the rule allows " + std::to_string(Allowed)
           + "); answered: " + std::to_string(answered) + " of " + std::to_string(Streams));
    finish(answered < Streams / 2 ? 2 : mixed > Allowed ? 1 : 0);
}
