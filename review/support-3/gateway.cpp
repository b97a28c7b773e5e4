#include "gateway.h"

#include "plan.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

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

Gateway::Gateway(const std::filesystem::path &folder,
                 std::size_t index,
                 const std::string &platform,
                 std::uint16_t peersPort,
                 std::uint16_t relayPort,
                 std::string_view promises)
{
    const std::string address = "127.0.0." + std::to_string(index + 1);
    const std::string name = "edge-" + std::to_string(index);
    m_callers = {net::ip::make_address(address), freePort(address)};
    m_readiness = {net::ip::make_address(address), freePort(address)};
    const std::string settings = (folder / (name + ".toml")).string();
    std::ofstream(settings) << "name = \"" << name << "\"\nzone = \"zone-a\"\naddress = \"" << address << "\"\n[listen]\ncallers = \"" << m_callers
                            << "\"\nreadiness = \"" << m_readiness << "\"\npeers = \"" << address << ':' << peersPort << "\"\ngossip_port = " << peersPort
                            << "\nrelay_port = " << relayPort << "\n[peers]\nseeds = [\"127.0.0.1:" << peersPort << "\"]\n[platform]\nlog = \"" << platform
                            << "\"\nfirst_start = true\nduties = \"" << platform << "\"\n[process]\nmemory_mb = 260\n[promises]\n"
                            << promises;
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
    const std::array<char *, 4> arguments{program.data(), option.data(), variable.data(), nullptr};
    const std::array<char *, 2> environment{setting.data(), nullptr};
    m_pid = ::fork();
    if (m_pid != 0) {
        return;
    }
    // The gateway ends with this process, and must not keep the ports of the stand-ins open.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, LogMode);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(program.c_str(), arguments.data(), environment.data());
    ::_exit(CouldNotRun);
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
