#include "processusage.h"

#include "base/json.h"
#include "support/fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>

#include <catch2/catch.hpp>

#include <cstdio>
#include <thread>

using namespace rosemaryshift;
using namespace rosemaryshift::testing;

namespace {

constexpr std::size_t Callers = 4;
constexpr std::size_t RequestsPerCaller = 250;
constexpr std::chrono::seconds IdleTime{5};

void sendQuestions(const http::Endpoint &callers, std::size_t count, int tokens)
{
    const http::Request request = Fleet::callerRequest("POST", "/v1/chat/completions", Fleet::chatBody("yard-small", "which label?", true, tokens));
    for (std::size_t i = 0; i < count; ++i) {
        tryExchange(callers, request);
    }
}

/// Processor time of the control and of the traffic threads of an idle entry host, in percent of a core, mean over all hosts.
std::pair<double, double> idlePercent(Fleet &fleet)
{
    std::vector<Usage> before;
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        before.push_back(usageOf(fleet.entry(i)));
    }
    std::this_thread::sleep_for(IdleTime);
    double control = 0;
    double traffic = 0;
    for (std::size_t i = 0; i < fleet.entries(); ++i) {
        const Usage after = usageOf(fleet.entry(i));
        control += after.controlSeconds - before[i].controlSeconds;
        traffic += after.trafficSeconds - before[i].trafficSeconds;
    }
    const double share = 100 / static_cast<double>(fleet.entries()) / std::chrono::duration<double>(IdleTime).count();
    return {control * share, traffic * share};
}

}

TEST_CASE("Processor time of idle entry hosts, which send heartbeats, by the number of hosts")
{
    for (const std::size_t hosts : {1, 3, 6, 9, 18}) {
        FleetOptions options;
        options.zones = {"eger"};
        options.entryHostsPerZone = hosts;
        Fleet fleet(options);
        const auto [control, traffic] = idlePercent(fleet);
        std::printf("%zu hosts: each idles at %.2f%% of a core for control and %.2f%% for traffic\n", hosts, control, traffic);
    }
}

TEST_CASE("Size of one heartbeat in bytes")
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

TEST_CASE("Processor time and memory of an entry host per streamed question")
{
    FleetOptions options;
    options.zones = {"eger"};
    options.engineSettings = "per_token_us = 0\nfirst_token_us = 0\nslots = 64\n";
    Fleet fleet(options);
    std::printf("idle: %.0f KB resident\n", usageOf(fleet.entry(0)).residentKb);
    for (const int tokens : {24, 316}) {
        const Usage before = usageOf(fleet.entry(0));
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < Callers; ++i) {
            threads.emplace_back([&] { sendQuestions(fleet.entry(0).callers, RequestsPerCaller, tokens); });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        const Usage after = usageOf(fleet.entry(0));
        const double requests = static_cast<double>(Callers * RequestsPerCaller);
        std::printf("a request of %d tokens: %.3f ms of control, %.3f ms of traffic, %.2f KB kept\n",
                    tokens,
                    (after.controlSeconds - before.controlSeconds) / requests * 1'000,
                    (after.trafficSeconds - before.trafficSeconds) / requests * 1'000,
                    (after.residentKb - before.residentKb) / requests);
    }
}
