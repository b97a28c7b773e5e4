#include "platform.h"

#include <chrono>
#include <random>

using namespace standins;

namespace {

constexpr int Gateways = 3;
constexpr int Servers = 3;
constexpr int Slots = 6;
constexpr int UsualQueue = 24;
/// Requests that a brittle server lets wait.
constexpr int BrittleQueue = 2;
/// Requests that a brittle server can turn away in a second.
constexpr std::size_t Tolerated = 2;
constexpr std::int64_t WorkMs = 60;
constexpr std::int64_t DownMs = 3'000;
constexpr std::int64_t ContactMs = 3'000;
constexpr std::int64_t HeartbeatMs = 1'200;
constexpr std::int64_t DeadlineMs = 1'000;
/// Three fifths of what the servers can run.
constexpr double RequestsPerSecond = 0.6 * Servers * Slots * 1000 / WorkMs;
constexpr std::int64_t CalmMs = 8'000;
constexpr std::int64_t BrittleMs = 30'000;

/// Stand-in for a server of an application, which runs a few requests at once and lets some wait.
class AppServer
{
public:
    AppServer(std::string id, Platform &platform)
        : m_id(std::move(id))
        , m_platform(platform)
        , m_server([this](Connection &connection, const Request &request) { return handle(connection, request); })
    {
        m_server.start(); // Takes its port.
        m_server.crash();
    }

    /// Registers itself and begins to serve.
    void start()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_fallen = false;
            m_rejections.clear();
            m_bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        }
        renew();
        m_server.start();
    }

    /// Writes its entry again.
    void renew()
    {
        m_platform.put("keyed.servers",
                       m_id,
                       R"({"service":"app","address":")" + m_server.endpoint()
                           + R"(","zone":"miskolc-a","version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"sequence":)" + std::to_string(++m_sequence)
                           + R"(,"born":)" + std::to_string(m_bornMs) + "}");
    }

    /// Ends as a process does that is killed.
    void crash()
    {
        m_server.crash();
    }

    /// From now on each answer says that the server is brittle; it falls over from ContactMs later.
    void setBrittle(bool brittle)
    {
        const std::lock_guard lock(m_mutex);
        m_brittleFrom = brittle ? std::optional(nowMs() + ContactMs) : std::nullopt;
    }

    /// The number of bookings that it runs as it falls over, so that crash() is due; nothing otherwise.
    std::optional<int> fallsOver()
    {
        const std::lock_guard lock(m_mutex);
        return m_fallen ? std::optional(m_bookingsAtFall) : std::nullopt;
    }

    [[nodiscard]] const std::string &id() const
    {
        return m_id;
    }

    /// Number of bookings that it has run to their end.
    [[nodiscard]] int runBookings() const
    {
        return m_runBookings;
    }

private:
    bool handle(Connection &connection, const Request &request)
    {
        Headers headers{{"X-Rosemaryshift-Attempt-Id", find(request.headers, "X-Rosemaryshift-Attempt-Id").value_or("")}};
        if (find(request.headers, "X-Rosemaryshift-Expect-Instance").value_or(m_id) != m_id) {
            headers.emplace_back("X-Rosemaryshift-Not-Executed", "1");
            return connection.send(answerText(421, headers, "{}"));
        }
        const bool booking = request.method == "POST";
        const bool accepted = enter(booking, connection, headers);
        if (!accepted) {
            headers.emplace_back("X-Rosemaryshift-Not-Executed", "1");
            return connection.send(answerText(503, headers, "{}"));
        }
        sleepMs(WorkMs);
        leave(booking, headers);
        if (m_server.stopped()) {
            return false;
        }
        headers.emplace_back("X-Rosemaryshift-Response-Seal", m_id);
        return connection.send(answerText(200, headers, "{}"));
    }

    /// Takes a slot, for which the request may wait. Returns whether it has one.
    bool enter(bool booking, const Connection &connection, Headers &headers)
    {
        std::unique_lock lock(m_mutex);
        const std::int64_t now = nowMs();
        const bool brittle = m_brittleFrom && now >= *m_brittleFrom;
        if (m_running >= Slots && m_waiting >= (brittle ? BrittleQueue : UsualQueue)) {
            std::erase_if(m_rejections, [now](std::int64_t at) { return at <= now - 1'000; });
            m_rejections.push_back(now);
            if (brittle && m_rejections.size() > Tolerated && !m_fallen) {
                m_fallen = true;
                m_bookingsAtFall = m_bookings;
            }
            addStatements(headers);
            return false;
        }
        ++m_waiting;
        m_changed.wait(lock, [this] { return m_running < Slots || m_server.stopped(); });
        --m_waiting;
        if (connection.closed()) { // Its caller has left.
            m_changed.notify_one();
            return false;
        }
        ++m_running;
        m_bookings += booking ? 1 : 0;
        return true;
    }

    void leave(bool booking, Headers &headers)
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_bookings -= booking ? 1 : 0;
        m_runBookings += booking ? 1 : 0;
        addStatements(headers);
        m_changed.notify_one();
    }

    void addStatements(Headers &headers) const
    {
        headers.emplace_back("X-Rosemaryshift-Server-Load", std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(Slots) + ",100");
        if (m_brittleFrom) {
            headers.emplace_back("Server-Brittle", std::to_string(Tolerated));
        }
    }

    const std::string m_id;
    Platform &m_platform;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<std::int64_t> m_brittleFrom;
    std::vector<std::int64_t> m_rejections; ///< Times in the last second.
    bool m_fallen = false;
    int m_bookingsAtFall = 0;
    int m_running = 0;
    int m_waiting = 0;
    int m_bookings = 0; ///< Of those that run.
    std::atomic<int> m_runBookings = 0;
    std::atomic<int> m_sequence = 0;
    std::int64_t m_bornMs = 0;
    Server m_server;
};

std::string configuration()
{
    const auto route = [](const std::string &name, const std::string &kind, int attempts) {
        return R"({"name":")" + name + R"(","host":"yard.example","path_prefix":"/)" + name + R"(/","kind":")" + kind
            + R"(","timeout_ms":1000,"latency_goal_ms":100,"priority":2,"service":"app","max_attempts":)" + std::to_string(attempts) + R"(,"resumable":false})";
    };
    return R"({"version":3,"routes":[)" + route("booking", "non_idempotent", 1) + "," + route("lookup", "idempotent", 2)
        + R"(],"services":[{"name":"app","health_path":"/healthz","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"yard","api_keys":["yard-key"],"per_s":0,"burst":0}]})";
}

/// What became of the requests.
struct Results {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> lostBookings = 0; ///< Answered 502 or 504, or not at all.
};

void play(const Gateway &gateway, const std::string &attempt, bool booking, Results &results)
{
    const Headers headers{{"Host", "yard.example"},
                          {"X-Rosemaryshift-Attempt-Id", attempt},
                          {"X-Rosemaryshift-Deadline-Ms", std::to_string(DeadlineMs)},
                          {"X-Api-Key", "yard-key"}};
    ++results.sent;
    const std::unique_ptr<Connection> connection = Connection::open(gateway.address(), gateway.port(), DeadlineMs);
    const std::string text = booking ? requestText("POST", "/booking/" + attempt, headers, R"({"booking":")" + attempt + R"("})")
                                     : requestText("GET", "/lookup/" + attempt, headers, {});
    if (!connection || !connection->send(text)) {
        return;
    }
    const Answer answer = connection->readAnswer(DeadlineMs + 500);
    results.served += answer.status == 200 ? 1 : 0;
    results.lostBookings += booking && (answer.status == 0 || answer.status == 502 || answer.status == 504) ? 1 : 0;
}

}

int main(int argc, char **argv)
{
    limitTime(110);
    const std::string folder = argc > 1 ? argv[1] : ".";
    Record record(folder + "/record.txt");
    const Folder temporary;
    Platform platform(record);
    platform.put("keyed.op", "config", configuration());
    std::vector<std::unique_ptr<AppServer>> servers;
    for (int number = 0; number < Servers; ++number) {
        servers.push_back(std::make_unique<AppServer>("i-" + std::to_string(number), platform));
        servers.back()->start();
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

    std::atomic<bool> over = false;
    int falls = 0;
    int bookingsAtFalls = 0;
    std::thread keeper([&] {
        std::vector<std::int64_t> restartAt(servers.size(), 0);
        std::int64_t renewal = nowMs() + HeartbeatMs;
        while (!over) {
            for (std::size_t number = 0; number < servers.size(); ++number) {
                const std::optional<int> bookings = restartAt[number] == 0 ? servers[number]->fallsOver() : std::nullopt;
                if (bookings) {
                    record.write("server " + servers[number]->id() + " falls over with " + std::to_string(*bookings) + " bookings running");
                    ++falls;
                    bookingsAtFalls += *bookings;
                    servers[number]->crash();
                    restartAt[number] = nowMs() + DownMs;
                } else if (restartAt[number] != 0 && nowMs() >= restartAt[number]) {
                    servers[number]->start();
                    restartAt[number] = 0;
                } else if (restartAt[number] == 0 && nowMs() >= renewal) {
                    servers[number]->renew();
                }
            }
            renewal += nowMs() >= renewal ? HeartbeatMs : 0;
            sleepMs(2);
        }
    });

    sleepMs(3'000); // Traffic starts some seconds after the machines do.
    std::mt19937 random(11);
    std::exponential_distribution<double> pause(RequestsPerSecond / 1000);
    std::vector<std::thread> clients;
    Results calm;
    Results brittle;
    const std::int64_t begin = nowMs();
    bool stated = false;
    double next = 0;
    for (int number = 0; nowMs() - begin < CalmMs + BrittleMs; ++number) {
        if (!stated && nowMs() - begin >= CalmMs) {
            stated = true;
            for (const std::unique_ptr<AppServer> &server : servers) {
                server->setBrittle(withTrouble());
            }
            record.write(withTrouble() ? "the servers say that they are brittle" : "the servers stay as they are");
        }
        const bool booking = random() % 10 < 7;
        const Gateway &gateway = *gateways[random() % gateways.size()];
        Results &results = stated ? brittle : calm;
        clients.emplace_back([&gateway, number, booking, &results] { play(gateway, "r" + std::to_string(number), booking, results); });
        next += pause(random);
        sleepMs(static_cast<std::int64_t>(next) - (nowMs() - begin));
    }
    for (std::thread &client : clients) {
        client.join();
    }
    over = true;
    keeper.join();
    int ran = 0;
    for (const std::unique_ptr<AppServer> &server : servers) {
        server->crash();
        ran += server->runBookings();
    }
    record.write("before: " + std::to_string(calm.served) + " of " + std::to_string(calm.sent) + " requests served");
    record.write("then: " + std::to_string(brittle.served) + " of " + std::to_string(brittle.sent) + " requests served, " + std::to_string(brittle.lostBookings)
                 + " bookings passed on without an answer; " + std::to_string(falls) + " falls of " + std::to_string(Servers) + " servers with "
                 + std::to_string(bookingsAtFalls) + " bookings running at them; bookings run to their end: " + std::to_string(ran));
    const double allowed = 2 + 0.1 * Servers;
    return calm.served == 0 ? 2 : falls > allowed ? 1 : 0;
}
