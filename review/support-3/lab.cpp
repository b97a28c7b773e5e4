#include "review/support-3/lab.h"

#include "review/support-3/clients.h"
#include "review/support-3/gateway.h"
#include "review/support-3/server.h"

#include <stdlib.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string_view>

namespace rosemaryshift::review {

namespace net = boost::asio;

namespace {

constexpr std::size_t Gateways = 2;
/// Time after the traffic in which its last answers come.
constexpr milliseconds EndTime{3'000};

/// A folder that is removed with the object.
class Folder
{
public:
    Folder()
        : m_path((std::filesystem::temp_directory_path() / "review-XXXXXX").string())
    {
        if (::mkdtemp(m_path.data()) == nullptr) {
            m_path.clear();
        }
    }

    ~Folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/// The newest configuration: one route, one service and one tenant without a quota.
std::string configuration(const Plan &plan)
{
    const milliseconds timeout(plan.stream ? 15'000 : 1'000);
    std::ostringstream text;
    text << R"({"version":3,"routes":[{"name":"r-1","host":"users.example","path_prefix":")" << plan.path << R"(","kind":")"
         << (plan.stream ? "streaming" : "non_idempotent") << R"(","timeout_ms":)" << timeout.count() << R"(,"latency_goal_ms":)" << (plan.stream ? 800 : 100)
         << R"(,"gap_target_ms":500,"priority":1,"service":")" << plan.service << R"(","max_attempts":)" << (plan.stream ? 2 : 1) << R"(,"sticky":)"
         << std::boolalpha << plan.stream << R"(,"resumable":)" << plan.stream << R"(}],"services":[{"name":")" << plan.service
         << R"(","health_path":"/healthz","max_conns":370)" << (plan.stream ? R"(,"engine":{"slots":64,"kv_capacity":898864,"stride":5})" : "")
         << R"(}],"limits":{"max_header_bytes":8192,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000},)"
         << R"("tenants":[{"name":"tenant-1","api_keys":["key-1"],"unit":"tokens","plain_tokens":200,"per_s":0,"burst":0}]})";
    return text.str();
}

/// Tells what became of the sound requests.
void reportSound(const Seen &seen, Record &record)
{
    std::ostringstream line;
    line << "sound requests: " << seen.sent << " answered or ended, " << seen.whole << " served whole, " << seen.brokenOff << " broken off, " << seen.failed
         << " failed, " << seen.refused << " refused; " << seen.interrupted << " were running at servers that fell";
    record.writeResult(line.str());
    std::vector<milliseconds> falls;
    for (const auto &[cause, times] : seen.falls) {
        falls.insert(falls.end(), times.begin(), times.end());
    }
    if (falls.size() < 5) {
        return;
    }
    std::ranges::sort(falls);
    const milliseconds from = falls[4] + 2 * ContactTime;
    const auto later = [from](const std::pair<milliseconds, bool> &request) { return request.first > from; };
    const auto begunLater = [from](const std::pair<milliseconds, bool> &request) { return request.first > from && request.second; };
    record.writeResult("of " + std::to_string(std::ranges::count_if(seen.begun, later))
                       + " sound requests sent later than 2 x contact_ms after the fifth fall, " + std::to_string(std::ranges::count_if(seen.begun, begunLater))
                       + " began to be answered");
}

}

bool withTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

std::size_t reportLateArrivals(const Seen &seen, std::size_t crash, Record &record)
{
    std::size_t most = 0;
    for (const auto &[kind, arrivals] : seen.deadlyArrivals) {
        const auto found = seen.falls.find(kind);
        std::vector<milliseconds> falls = found == seen.falls.end() ? std::vector<milliseconds>() : found->second;
        std::ranges::sort(falls);
        std::ptrdiff_t late = 0;
        if (falls.size() >= crash) {
            const milliseconds from = falls[crash - 1] + ContactTime + WayTime;
            late = std::ranges::count_if(arrivals, [from](milliseconds arrival) { return arrival > from; });
        }
        most = std::max(most, static_cast<std::size_t>(late));
        record.writeResult(kind + ": reached servers " + std::to_string(arrivals.size()) + " times and crashed " + std::to_string(falls.size()) + ", "
                           + std::to_string(late) + " of these times later than contact_ms after crash " + std::to_string(crash));
    }
    return most;
}

int runLab(const Plan &plan, const std::string &recordFile, const std::function<bool(const Seen &seen, Record &record)> &judge)
{
    const Folder folder;
    Record record(recordFile);
    Seen seen;
    adapter::testing::StandinPlatform platform(Gateways);
    platform.put("keyed.op", "config", configuration(plan));
    net::io_context context;
    std::vector<std::unique_ptr<Server>> servers;
    for (int index = 0; index < plan.servers; ++index) {
        servers.push_back(std::make_unique<Server>(context, platform, record, seen, plan, index));
    }
    const std::uint16_t peersPort = freePort("127.0.0.1");
    const std::uint16_t relayPort = freePort("127.0.0.1");
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<net::ip::tcp::endpoint> callers;
    for (std::size_t index = 0; index < Gateways; ++index) {
        gateways.push_back(std::make_unique<Gateway>(folder.path(), index, platform.endpoint(index).text(), peersPort, relayPort));
        callers.push_back(gateways.back()->callers());
    }
    for (const std::unique_ptr<Gateway> &gateway : gateways) {
        if (!gateway->awaitReady()) {
            record.writeResult("a gateway did not become ready");
            return CouldNotRun;
        }
    }
    Clients clients(context, record, seen, plan, callers);
    const Clock::time_point until = Clock::now() + plan.length;
    net::co_spawn(context, clients.sendSound(until), net::detached);
    if (plan.deadlyKinds > 0) {
        net::co_spawn(context, clients.sendDeadly(until), net::detached);
    }
    context.run_until(until + EndTime);
    const bool broken = judge(seen, record);
    reportSound(seen, record);
    return broken ? Broken : Held;
}

}
