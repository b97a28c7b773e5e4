#include "review/support-3/gateway.h"

#include "review/support-3/plan.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <fstream>
#include <thread>

namespace rosemaryshift::review {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using net::ip::tcp;

namespace {

constexpr std::chrono::seconds ReadyLimit{15};
constexpr milliseconds ReadyPoll{100};
constexpr mode_t LogMode = 0600;

/// The bounds of the users' sheet, as platform/settings.toml.in fills them in.
constexpr std::string_view Promises = "[process]\nmemory_mb = 260\n[promises]\nrenewal_ms = 1200\nleaving_ms = 2000\nstop_s = 8\nconfiguration_ms = 2000\n"
                                      "revocation_ms = 5000\nretry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\nquota_excess = 0.1\n"
                                      "quota_slack = 140000\nlease_ms = 3000\nusage_window_s = 5\nusage_late_s = 10\n";

/// Whether the server at @p endpoint answers with 200.
bool isReady(const tcp::endpoint &endpoint)
{
    net::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(endpoint, error);
    if (error) {
        return false;
    }
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, "/readyz", 11);
    request.set(bhttp::field::host, "users.example");
    bhttp::response<bhttp::string_body> response;
    beast::flat_buffer buffer;
    bhttp::write(socket, request, error);
    bhttp::read(socket, buffer, response, error);
    return !error && response.result() == bhttp::status::ok;
}

}

std::uint16_t freePort(const std::string &address)
{
    net::io_context context;
    const tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address(address), 0));
    return acceptor.local_endpoint().port();
}

Gateway::Gateway(const std::filesystem::path &folder, std::size_t index, const std::string &platform, std::uint16_t peersPort, std::uint16_t relayPort)
{
    const std::string address = "127.0.0." + std::to_string(index + 1);
    const std::string name = "edge-" + std::to_string(index);
    m_callers = {net::ip::make_address(address), freePort(address)};
    m_readiness = {net::ip::make_address(address), freePort(address)};
    const std::string settings = (folder / (name + ".toml")).string();
    std::ofstream(settings) << "name = \"" << name << "\"\nzone = \"zone-a\"\naddress = \"" << address << "\"\n[listen]\ncallers = \"" << m_callers
                            << "\"\nreadiness = \"" << m_readiness << "\"\npeers = \"" << address << ':' << peersPort << "\"\ngossip_port = " << peersPort
                            << "\nrelay_port = " << relayPort << "\n[peers]\nseeds = [\"127.0.0.1:" << peersPort << "\"]\n[platform]\nlog = \"" << platform
                            << "\"\nfirst_start = true\nduties = \"" << platform << "\"\n"
                            << Promises;
    start(settings, (folder / (name + ".log")).string());
}

Gateway::~Gateway()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void Gateway::start(const std::string &settings, const std::string &log)
{
    std::string program = "target/bin/rosemaryshift-gateway";
    std::string option = "--settings-variable";
    std::string variable = "ROSEMARYSHIFT_BOOT";
    std::string setting = variable + "=" + settings;
    std::array<char *, 4> arguments{program.data(), option.data(), variable.data(), nullptr};
    std::array<char *, 2> environment{setting.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, LogMode);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // Otherwise the gateway would keep the ports of the stand-ins open.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    if (posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments.data(), environment.data()) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
}

tcp::endpoint Gateway::callers() const
{
    return m_callers;
}

bool Gateway::awaitReady() const
{
    const Clock::time_point limit = Clock::now() + ReadyLimit;
    while (m_pid > 0 && Clock::now() < limit) {
        if (isReady(m_readiness)) {
            return true;
        }
        std::this_thread::sleep_for(ReadyPoll);
    }
    return false;
}

}
