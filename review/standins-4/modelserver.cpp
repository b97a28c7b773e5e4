#include "modelserver.h"

#include <chrono>
#include <cstdlib>

namespace standins {

namespace {

constexpr std::int64_t HeartbeatMs = 1'200;
constexpr int Slots = 64;

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

ModelServer::ModelServer(std::string id, std::string service, Platform &platform, Record &record, StreamShape shape)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_platform(platform)
    , m_record(record)
    , m_shape(shape)
    , m_server([this](Connection &connection, const Request &request) { return handle(connection, request); })
{
    m_server.start(); // Takes its port.
    m_server.crash();
}

ModelServer::~ModelServer()
{
    crash();
}

void ModelServer::start(const std::string &version)
{
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_bornMs = unixMs();
        m_sequence = 0;
    }
    m_crashDue = false;
    writeEntry();
    m_server.start();
    m_record.write("server " + m_id + " starts with version " + version);
    m_renewal = std::thread([this] { renew(); });
}

void ModelServer::crash()
{
    if (m_renewal.joinable()) {
        m_record.write("server " + m_id + " crashes with " + std::to_string(m_running) + " streams");
        m_server.crash();
        m_renewal.join();
    }
}

void ModelServer::setCrashingBody(std::string body)
{
    const std::lock_guard lock(m_mutex);
    m_crashingBody = std::move(body);
}

void ModelServer::setCrashingPart(std::string part)
{
    const std::lock_guard lock(m_mutex);
    m_crashingPart = std::move(part);
}

std::vector<std::int64_t> ModelServer::crashingArrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashingArrivals;
}

bool ModelServer::crashDue() const
{
    return m_crashDue;
}

int ModelServer::running() const
{
    return m_running;
}

const std::string &ModelServer::id() const
{
    return m_id;
}

void ModelServer::renew()
{
    std::int64_t next = nowMs() + HeartbeatMs;
    while (!m_server.stopped()) {
        sleepMs(5);
        if (nowMs() >= next) {
            next += HeartbeatMs;
            ++m_sequence;
            writeEntry();
        }
    }
}

void ModelServer::writeEntry()
{
    const std::lock_guard lock(m_mutex);
    m_platform.put("keyed.servers",
                   m_id,
                   R"({"service":")" + m_service + R"(","address":")" + m_server.endpoint() + R"(","zone":"miskolc-a","version":")" + m_version
                       + R"(","slots":64,"state":"ready","warmup_left_ms":0,"sequence":)" + std::to_string(m_sequence) + R"(,"born":)"
                       + std::to_string(m_bornMs) + "}");
}

bool ModelServer::handle(Connection &connection, const Request &request)
{
    const std::string attempt = find(request.headers, "X-Rosemaryshift-Attempt-Id").value_or("");
    if (find(request.headers, "X-Rosemaryshift-Expect-Instance").value_or(m_id) != m_id) {
        return connection.send(answerText(421, {{"X-Rosemaryshift-Attempt-Id", attempt}, {"X-Rosemaryshift-Not-Executed", "1"}}, "{}"));
    }
    ++m_running;
    stream(connection, request, attempt, crashesByPart(request));
    --m_running;
    return !m_server.stopped() && !m_crashDue && !connection.closed();
}

bool ModelServer::crashesByPart(const Request &request)
{
    const std::string parts = find(request.headers, "X-Rosemaryshift-Prompt-Prefix").value_or("");
    const std::lock_guard lock(m_mutex);
    const std::size_t at = m_crashingPart.empty() ? std::string::npos : parts.find(m_crashingPart + ":");
    if (at == std::string::npos || parts.find(',', at) == std::string::npos) {
        return false;
    }
    m_crashingArrivals.push_back(nowMs());
    return true;
}

void ModelServer::stream(Connection &connection, const Request &request, const std::string &attempt, bool crashes)
{
    std::string version;
    {
        const std::lock_guard lock(m_mutex);
        version = m_version;
        crashes = crashes || (!m_crashingBody.empty() && request.body == m_crashingBody);
    }
    const int after = std::atoi(find(request.headers, "Last-Event-Id").value_or("0").c_str());
    m_record.write("server " + m_id + " (version " + version + ") runs attempt " + attempt + " after event " + std::to_string(after));
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Rosemaryshift-Attempt-Id: " + attempt
        + "\r\nX-Rosemaryshift-Response-Seal: " + m_id + "." + attempt + "\r\nX-Rosemaryshift-Server-Load: " + std::to_string(m_running) + ",0,"
        + std::to_string(Slots) + ",100\r\n\r\n";
    if (!connection.send(head)) {
        return;
    }
    for (int number = after + 1; number <= m_shape.events; ++number) {
        if (crashes) {
            m_crashDue = true;
            while (!m_server.stopped()) { // All connections of the server end with it.
                sleepMs(1);
            }
            connection.resetOnClose();
            return;
        }
        const std::int64_t until = nowMs() + m_shape.pauseMs;
        while (nowMs() < until) {
            if (m_server.stopped() || connection.closed()) {
                return;
            }
            sleepMs(5);
        }
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + version + " " + m_id + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!connection.send(size + event + "\r\n")) {
            return;
        }
    }
    connection.send("0\r\n\r\n");
}

}
