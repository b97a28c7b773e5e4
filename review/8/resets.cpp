// An entry host is partitioned from all servers: its connections hang and are then reset. A stream without length or chunks that is reset is not complete.

#include "../support-2/lab.h"

#include <cstdlib>
#include <memory>
#include <thread>

using namespace lab;

namespace {

constexpr int Servers = 6;
constexpr int Streams = 40;

}

int main(int count, char **arguments)
{
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    openRecord(count > 1 ? arguments[1] : "record.txt");
    Platform platform;
    StreamShape shape;
    shape.events = 60;
    shape.pause = milliseconds(100);
    shape.unframed = true;
    std::vector<std::unique_ptr<ModelServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<ModelServer>(platform, "model-" + std::to_string(number), "model", "v1", shape));
    }
    platform.put("keyed.op", "config", configuration(2, {route("plan", "streaming", "model", 3, true, 15000)}, {"model"}));
    const int ports = freePorts();
    Gateway gateway("edge-1", "127.0.0.1", {"127.0.0.1"}, platform, ports);
    if (!gateway.awaitReady()) {
        record("the gateway is not ready");
        finish(2);
    }
    rest(milliseconds(2000));
    std::atomic<int> cutShort = 0;
    std::atomic<int> whole = 0;
    std::vector<std::thread> callers;
    for (int stream = 0; stream < Streams; ++stream) {
        callers.emplace_back([&, stream] {
            const std::string attempt = "s" + std::to_string(stream);
            Connection connection(gateway.host(), gateway.port());
            connection.send(requestHead("POST", "/plan/x", attempt, 15000, promptHeaders(stream) + "Content-Length: 2\r\n") + "{}");
            const Message answer = connection.readAnswer(Clock::now() + std::chrono::seconds(16));
            int last = 0;
            for (std::size_t at = 0; (at = answer.body.find("id: ", at)) != std::string::npos; ++at) {
                last = std::atoi(answer.body.c_str() + at + 4);
            }
            const bool cut = answer.complete && last < 60;
            record("caller " + attempt + ": status " + std::to_string(answer.status()) + ", events to " + std::to_string(last) + " of 60, "
                   + (answer.complete ? "ended as complete" : "broken off") + (cut ? ", THOUGH EVENTS ARE MISSING" : ""));
            cutShort += cut ? 1 : 0;
            whole += answer.complete && !cut ? 1 : 0;
        });
        rest(milliseconds(25));
    }
    rest(milliseconds(1000));
    if (trouble) {
        for (const std::unique_ptr<ModelServer> &server : servers) {
            server->cutOff();
        }
        rest(milliseconds(2900));
        for (const std::unique_ptr<ModelServer> &server : servers) {
            server->resetConnections();
        }
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record("streams that ended as complete before their last event: " + std::to_string(cutShort) + "; whole streams: " + std::to_string(whole) + " of "
           + std::to_string(Streams));
    finish(cutShort > 0 ? 1 : !trouble && whole < Streams ? 2 : 0);
}
