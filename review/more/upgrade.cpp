// Idle servers are upgraded in place while the store turns one entry host away, and others crash: streams must not go on at a server that runs another version.

#include "../support-2/lab.h"

#include <cstdlib>
#include <memory>
#include <set>
#include <thread>

using namespace lab;

namespace {

constexpr int Gateways = 3;
constexpr int Servers = 12;
constexpr int Upgraded = 5;
constexpr int Crashed = 2;
constexpr int Streams = 480;
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
    Platform platform(Gateways);
    StreamShape shape;
    shape.events = 60;
    shape.pause = milliseconds(60);
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<ModelServer>(platform, "model-" + std::to_string(number), "model", "v1", shape));
    }
    platform.put("keyed.op", "config", configuration(2, {route("plan", "streaming", "model", 2, true, 15000)}, {"model"}));
    const int ports = freePorts();
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int number = 0; number < Gateways; ++number) {
        const std::string host = "127.0.0." + std::to_string(number + 1);
        gateways.push_back(std::make_unique<Gateway>("edge-" + std::to_string(number), host, std::vector<std::string>{"127.0.0.1"}, platform, ports, number));
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (!gateway->awaitReady()) {
            record("a gateway is not ready");
            finish(2);
        }
    }
    rest(milliseconds(3000));
    if (trouble) {
        platform.setRejecting(0, true);
        record("the store turns edge-0 away, at 127.0.0.1");
    }
    rest(milliseconds(300));
    for (int number = 0; number < Upgraded; ++number) {
        ModelServer &server = *servers[static_cast<std::size_t>(number)];
        server.crash();
        rest(milliseconds(50));
        server.start("v2");
    }
    rest(milliseconds(1200));

    std::atomic<int> mixed = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int stream = 0; stream < Streams; ++stream) {
        callers.emplace_back([&, stream] {
            const Gateway &gateway = *gateways[static_cast<std::size_t>(stream % Gateways)];
            const std::string attempt = "s" + std::to_string(stream);
            Connection connection(gateway.host(), gateway.port());
            connection.send(requestHead("POST", "/plan/x", attempt, 15000, promptHeaders(stream) + "Content-Length: 2\r\n") + "{}");
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
        rest(milliseconds(3));
    }
    rest(milliseconds(300));
    for (int number = Servers - Crashed; number < Servers; ++number) {
        servers[static_cast<std::size_t>(number)]->crash();
    }
    rest(milliseconds(1500));
    if (trouble) {
        platform.setRejecting(0, false);
        record("the store serves edge-0 again");
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record("streams that hold events of two versions: " + std::to_string(mixed) + " (the rule allows " + std::to_string(Allowed)
           + "); answered: " + std::to_string(answered) + " of " + std::to_string(Streams));
    finish(answered < Streams / 2 ? 2 : mixed > Allowed ? 1 : 0);
}
