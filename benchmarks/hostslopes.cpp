#include "base/json.h"
#include "support/fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include <catch2/catch.hpp>
#include <dirent.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr std::size_t Callers = 4;
constexpr std::size_t RequestsPerCaller = 250;
constexpr int Tokens = 24;
constexpr std::chrono::seconds IdleTime{5};

/// What one process has used up to now.
struct Usage {
    double cpuSeconds = 0;
    double residentKb = 0;
};

Usage usageOf(pid_t pid)
{
    Usage usage;
    const std::string folder = "/proc/" + std::to_string(pid);
    std::ifstream stat(folder + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    usage.cpuSeconds = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "/status");
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:")) {
            usage.residentKb = std::stod(line.substr(6));
        }
    }
    return usage;
}

void ask(const http::Endpoint &callers, std::size_t count)
{
    const http::Request request = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", true, Tokens));
    for (std::size_t i = 0; i < count; ++i) {
        tryExchange(callers, request);
    }
}

/// Processor time of all entry hosts together, per host and second, while nothing is asked of them.
double idleShare(Fleet &fleet)
{
    double before = 0;
    double after = 0;
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        before += usageOf(fleet.entry(i).process->pid()).cpuSeconds;
    }
    std::this_thread::sleep_for(IdleTime);
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        after += usageOf(fleet.entry(i).process->pid()).cpuSeconds;
    }
    return (after - before) / static_cast<double>(fleet.entries()) / std::chrono::duration<double>(IdleTime).count();
}

}

TEST_CASE("Processor time of heartbeats by the number of hosts")
{
    for (const std::size_t hosts : {1, 3, 6, 9, 18}) {
        FleetOptions options;
        options.zones = {"eger"};
        options.entryHostsPerZone = hosts;
        Fleet fleet(options);
        std::printf("%zu hosts: each idles at %.3f%% of a core\n", hosts, idleShare(fleet) * 100);
    }
}

TEST_CASE("Bytes of one heartbeat")
{
    namespace net = boost::asio;
    net::io_context context;
    net::ip::tcp::acceptor listener(context, {net::ip::make_address("127.0.0.1"), 0});
    FleetOptions options;
    options.zones = {"eger"};
    Fleet fleet(options);
    Json::Value row;
    row["name"] = "measured";
    row["kind"] = "entry";
    row["zone"] = "miskolc";
    row["address"] = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    Json::Value body;
    body["hosts"].append(row);
    REQUIRE(exchange(fleet.platform(), makeRequest("PUT", "/standin/hosts", toText(body))).status == 200);
    net::ip::tcp::socket socket = listener.accept();
    net::streambuf received;
    const std::size_t header = net::read_until(socket, received, "\r\n\r\n");
    const std::string text(net::buffers_begin(received.data()), net::buffers_end(received.data()));
    const std::size_t at = text.find("Content-Length: ");
    REQUIRE(at != std::string::npos);
    const std::size_t length = std::stoul(text.substr(at + 16));
    std::printf("a heartbeat: %zu bytes of header and %zu of body\n", header, length);
}

TEST_CASE("Slopes of one entry host under streamed questions")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 0\nfirst_token_us = 0\nslots = 64\n";
    Fleet fleet(options);
    const pid_t pid = fleet.entry(0).process->pid();
    const Usage idle = usageOf(pid);
    std::this_thread::sleep_for(IdleTime);
    const Usage rested = usageOf(pid);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < Callers; ++i) {
        threads.emplace_back([&] { ask(fleet.entry(0).callers, RequestsPerCaller); });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const Usage busy = usageOf(pid);
    const double requests = static_cast<double>(Callers * RequestsPerCaller);
    std::printf("idle: %.0f KB resident, %.2f%% of a core\n",
                idle.residentKb,
                (rested.cpuSeconds - idle.cpuSeconds) / std::chrono::duration<double>(IdleTime).count() * 100);
    std::printf("a request of %d tokens: %.3f ms of processor time, %.2f KB kept\n",
                Tokens,
                (busy.cpuSeconds - rested.cpuSeconds) / requests * 1'000,
                (busy.residentKb - rested.residentKb) / requests);
}
