#include "lab.h"

#include "base/json.h"
#include "clients.h"
#include "gateway.h"
#include "server.h"

#include <json/value.h>
#include <stdlib.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <optional>
#include <sstream>
#include <string_view>

namespace rosemaryshift::review {

namespace net = boost::asio;

namespace {

/// The bounds of the sheet of kovacs-gyujto, as platform/settings.toml.in fills them in.
constexpr std::string_view Promises = "renewal_ms = 1200\nleaving_ms = 2000\nstop_s = 8\nconfiguration_ms = 2000\nrevocation_ms = 5000\nretry_ratio = 0.2\n"
                                      "retry_slack = 56\nretry_window_s = 10\nquota_excess = 0.1\nquota_slack = 140000\nlease_ms = 3000\n"
                                      "usage_window_s = 5\nusage_late_s = 10\n";
/// The same of sonoteca-norte-grown, whose sheet has roll-outs.
constexpr std::string_view RolloutPromises = "renewal_ms = 1200\nleaving_ms = 3000\nstop_s = 8\nconfiguration_ms = 3000\nrevocation_ms = 5000\n"
                                             "retry_ratio = 0.2\nretry_slack = 218\nretry_window_s = 10\nquota_excess = 0.1\nquota_slack = 140000\n"
                                             "exposure_share = 0.1\nexposure_slack = 50\nrollback_ms = 5000\nlease_ms = 3000\nusage_window_s = 5\n"
                                             "usage_late_s = 10\n";
/// Interval at which the operator reads the state of a roll-out.
constexpr milliseconds StatePoll{100};
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
         << std::boolalpha << plan.stream << R"(,"resumable":)" << plan.stream << "}";
    if (plan.lookupsPerSecond > 0) {
        text << R"(,{"name":"r-2","host":"users.example","path_prefix":")" << LookupPath
             << R"(","kind":"idempotent","timeout_ms":1000,"latency_goal_ms":100,"priority":2,"service":")" << plan.service << R"(","max_attempts":1})";
    }
    text << R"(],"services":[{"name":")" << plan.service << R"(","health_path":"/healthz","max_conns":370)"
         << (plan.stream ? R"(,"engine":{"slots":64,"kv_capacity":898864,"stride":5})" : "")
         << R"(}],"limits":{"max_header_bytes":8192,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":15000},)"
         << R"("tenants":[{"name":"tenant-1","api_keys":["key-1"],"unit":"tokens","plain_tokens":200,"per_s":0,"burst":0}]})";
    return text.str();
}

using Servers = std::vector<std::unique_ptr<Server>>;

/// The state of the roll-out that the operator reads; empty when there is none.
std::string rolloutState(const adapter::testing::StandinPlatform &platform, const Plan &plan)
{
    std::string reason;
    const std::optional<std::string> text = platform.newest("keyed.status", "rollout/" + plan.service);
    const std::optional<Json::Value> value = text ? parseJson(*text, reason) : std::nullopt;
    return value ? stringMember(*value, "state").value_or("") : std::string();
}

/// Orders the roll-out of v2, whose servers start with the order, and stops the earlier servers when it is complete. @p servers must not change meanwhile.
net::awaitable<void>
rollOut(net::io_context &context, adapter::testing::StandinPlatform &platform, Record &record, Seen &seen, const Plan &plan, Servers &servers)
{
    net::steady_timer timer(context, CalmTime);
    co_await timer.async_wait(net::as_tuple(net::use_awaitable));
    seen.orderedAt = record.now();
    const std::string seconds = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(plan.rolloutTime).count());
    platform.put("keyed.op", "rollout/" + plan.service, R"({"service":")" + plan.service + R"(","to":"v2","duration_s":)" + seconds + "}");
    record.write("operator orders v2 within " + seconds + " s");
    Servers newServers;
    for (int index = 0; index < plan.servers; ++index) {
        newServers.push_back(std::make_unique<Server>(context, platform, record, seen, plan, index, "v2"));
    }
    std::string state;
    while (true) {
        timer.expires_after(StatePoll);
        co_await timer.async_wait(net::as_tuple(net::use_awaitable));
        const std::string now = rolloutState(platform, plan);
        if (now == state) {
            continue;
        }
        state = now;
        record.writeResult("state of the roll-out " + std::to_string((record.now() - seen.orderedAt).count()) + " ms after the order: " + state);
        if (state == "complete") {
            for (const std::unique_ptr<Server> &server : servers) {
                server->stop();
            }
        }
    }
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
    adapter::testing::StandinPlatform platform(plan.gateways);
    platform.put("keyed.op", "config", configuration(plan));
    net::io_context context;
    Servers servers;
    for (int index = 0; index < plan.servers; ++index) {
        servers.push_back(std::make_unique<Server>(context, platform, record, seen, plan, index));
    }
    const std::uint16_t peersPort = freePort("127.0.0.1");
    const std::uint16_t relayPort = freePort("127.0.0.1");
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::vector<net::ip::tcp::endpoint> callers;
    for (std::size_t index = 0; index < plan.gateways; ++index) {
        gateways.push_back(std::make_unique<Gateway>(
            folder.path(), index, platform.endpoint(index).text(), peersPort, relayPort, plan.rolloutTime.count() > 0 ? RolloutPromises : Promises));
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
    if (plan.lookupsPerSecond > 0) {
        net::co_spawn(context, clients.sendLookups(until), net::detached);
    }
    if (plan.rolloutTime.count() > 0) {
        net::co_spawn(context, rollOut(context, platform, record, seen, plan, servers), net::detached);
    }
    context.run_until(until + EndTime);
    const bool broken = judge(seen, record);
    reportSound(seen, record);
    return broken ? Broken : Held;
}

}
