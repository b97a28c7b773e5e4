#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>

namespace standins {

namespace {

constexpr std::string_view Program = "target/bin/rosemaryshift-gateway";

std::string queryValue(const std::string &target, const std::string &key)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.starts_with(key + "=")) {
            return pair.substr(key.size() + 1);
        }
        at = end;
    }
    return {};
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    constexpr int ByteBits = 8;
    std::string text;
    for (int byte = bytes - 1; byte >= 0; --byte) {
        text += static_cast<char>(value >> (ByteBits * byte) & 0xff);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8 | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : Digits[group >> (18 - 6 * digit) & 63];
        }
    }
    return text;
}

}

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << nowMs() << " ms  " << line << std::endl;
}

Platform::Platform(Record &record)
    : m_record(record)
    , m_server([this](Connection &connection, const Request &request) { return handle(connection, request); })
{
    m_server.start();
}

std::string Platform::endpoint() const
{
    return m_server.endpoint();
}

void Platform::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
}

void Platform::setDown(bool down)
{
    m_down = down;
}

std::vector<Platform::DutyCall> Platform::dutyCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_dutyCalls;
}

bool Platform::handle(Connection &connection, const Request &request)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path == "/usage" || path == "/scale") {
        DutyCall call{nowMs(), path, find(request.headers, "X-Rosemaryshift-Duty-Holder").value_or(""), 0, request.body};
        call.fence = std::strtoull(find(request.headers, "X-Rosemaryshift-Fence-Token").value_or("0").c_str(), nullptr, 10);
        {
            const std::lock_guard lock(m_mutex);
            m_dutyCalls.push_back(call);
        }
        m_record.write("the platform gets " + path + " from " + call.holder + ", fence " + std::to_string(call.fence) + ": " + call.body);
        return connection.send(answerText(200, {}, "{}"));
    }
    if (m_down) {
        return connection.send(answerText(503, {{"Store-Era", "1"}}, "{}"));
    }
    if (path == "/log-read") {
        return connection.send(read(request.target));
    }
    if (path == "/log-newest") {
        return connection.send(newest(request.target));
    }
    if (path == "/log-append") {
        return connection.send(append(request));
    }
    return connection.send(answerText(404, {{"Store-Era", "1"}}, "{}"));
}

std::string Platform::read(const std::string &target)
{
    const std::string topic = queryValue(target, "topic");
    const std::uint64_t from = std::strtoull(queryValue(target, "from").c_str(), nullptr, 10);
    const auto wait = std::chrono::milliseconds(std::strtoull(queryValue(target, "wait_ms").c_str(), nullptr, 10));
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [this, &topic, from] { return from < m_topics[topic].size(); });
    const std::vector<StoredRecord> &records = m_topics[topic];
    if (from > records.size()) {
        return answerText(410, {{"Store-Era", "1"}}, R"({"first":0})");
    }
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < records.size(); ++offset) {
        const StoredRecord &record = records[offset];
        const std::string content = static_cast<char>(record.key.size()) + record.key + record.value.value_or("");
        body += bigEndian(content.size(), 4) + content;
    }
    return answerText(200, {{"Store-Era", "1"}}, body);
}

std::string Platform::newest(const std::string &target) const
{
    const std::lock_guard lock(m_mutex);
    const auto topic = m_topics.find(queryValue(target, "topic"));
    std::map<std::string, std::pair<std::optional<std::string>, std::uint64_t>> found;
    std::uint64_t end = 0;
    if (topic != m_topics.end()) {
        for (const StoredRecord &record : topic->second) {
            found[record.key] = {record.value, end++};
        }
    }
    std::string entries;
    for (const auto &[key, value] : found) {
        if (value.first) {
            entries += (entries.empty() ? R"({"key":")" : R"(,{"key":")") + key + R"(","value":")" + base64(*value.first) + R"(","offset":)"
                + std::to_string(value.second) + "}";
        }
    }
    return answerText(200, {{"Store-Era", "1"}}, R"({"entries":[)" + entries + R"(],"has_more":false,"end":)" + std::to_string(end) + "}");
}

std::string Platform::append(const Request &request)
{
    constexpr std::size_t LengthBytes = 4;
    const std::string topic = queryValue(request.target, "topic");
    const std::string at = queryValue(request.target, "at");
    const std::lock_guard lock(m_mutex);
    std::vector<StoredRecord> &records = m_topics[topic];
    const std::string end = std::to_string(records.size());
    if (!at.empty() && at != end) {
        return answerText(412, {{"Store-Era", "1"}}, R"({"end":)" + end + "}");
    }
    if (request.body.size() <= LengthBytes) {
        return answerText(400, {{"Store-Era", "1"}}, "{}");
    }
    const std::size_t keyBytes = static_cast<unsigned char>(request.body[LengthBytes]);
    const std::string value = request.body.substr(LengthBytes + 1 + keyBytes);
    records.push_back({request.body.substr(LengthBytes + 1, keyBytes), value.empty() ? std::nullopt : std::optional(value)});
    m_changed.notify_all();
    return answerText(200, {{"Store-Era", "1"}}, R"({"offset":)" + end + R"(,"end":)" + std::to_string(records.size()) + "}");
}

Gateway::Gateway(Settings settings, Ports ports, std::string platform, std::string folder, std::string promises)
    : m_settings(std::move(settings))
    , m_ports(ports)
    , m_platform(std::move(platform))
    , m_folder(std::move(folder))
    , m_promises(std::move(promises))
{
}

Gateway::~Gateway()
{
    kill();
}

Gateway::Ports Gateway::freePorts()
{
    Ports ports;
    for (std::uint16_t *const port : {&ports.callers, &ports.readiness, &ports.peers, &ports.gossip, &ports.relay, &ports.metrics}) {
        *port = freePort();
    }
    return ports;
}

void Gateway::start()
{
    const std::string path = m_folder + "/" + m_settings.name + ".toml";
    const auto endpoint = [this](std::uint16_t port) { return "\"" + m_settings.address + ":" + std::to_string(port) + "\"\n"; };
    std::string seeds;
    for (const std::string &seed : m_settings.seeds) {
        seeds += (seeds.empty() ? "\"" : ", \"") + seed + ":" + std::to_string(m_ports.peers) + "\"";
    }
    {
        // As platform/settings.toml.in, with the bounds of the sheet.
        std::ofstream file(path);
        file << "name = \"" << m_settings.name << "\"\nzone = \"" << m_settings.zone << "\"\naddress = \"" << m_settings.address
             << "\"\n[listen]\ncallers = " << endpoint(m_ports.callers) << "readiness = " << endpoint(m_ports.readiness)
             << "peers = " << endpoint(m_ports.peers) << "gossip_port = " << m_ports.gossip << "\nrelay_port = " << m_ports.relay
             << "\nmetrics_port = " << m_ports.metrics << "\n[peers]\nseeds = [" << seeds << "]\n[platform]\nlog = \"" << m_platform << "\"\n"
             << (m_settings.firstStart ? "first_start = true\n" : "") << "duties = \"" << m_platform << "\"\n[process]\nmemory_mb = 260\n[promises]\n"
             << "renewal_ms = 1200\nleaving_ms = 2000\nstop_s = 8\nconfiguration_ms = 2000\nrevocation_ms = 5000\nretry_ratio = 0.2\nretry_slack = 56\n"
             << "retry_window_s = 10\nquota_excess = 0.1\nquota_slack = 140000\nlease_ms = 3000\nusage_window_s = 5\nusage_late_s = 10\n"
             << m_promises;
    }
    m_settings.firstStart = false;
    const std::string output = m_folder + "/" + m_settings.name + ".log";
    const std::string variable = "ROSEMARYSHIFT_BOOT=" + path;
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        std::string program(Program);
        std::string option = "--settings-variable";
        std::string name = "ROSEMARYSHIFT_BOOT";
        std::string entry = variable;
        std::string language = "LANG=C.UTF-8";
        char *const arguments[] = {program.data(), option.data(), name.data(), nullptr};
        char *const environment[] = {entry.data(), language.data(), nullptr};
        ::execve(program.c_str(), arguments, environment);
        ::_exit(127);
    }
}

void Gateway::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

bool Gateway::awaitEnd(std::int64_t timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    while (m_pid > 0 && nowMs() < until) {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        sleepMs(5);
    }
    return m_pid <= 0;
}

void Gateway::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool Gateway::awaitReady(std::int64_t timeoutMs) const
{
    constexpr std::int64_t CallMs = 500;
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
        const std::unique_ptr<Connection> connection = Connection::open(m_settings.address, m_ports.readiness, CallMs);
        if (connection && connection->send(requestText("GET", "/readyz", {{"Host", "ready"}}, {})) && connection->readAnswer(CallMs).status == 200) {
            return true;
        }
        sleepMs(20);
    }
    return false;
}

const std::string &Gateway::address() const
{
    return m_settings.address;
}

std::uint16_t Gateway::port() const
{
    return m_ports.callers;
}

const std::string &Gateway::name() const
{
    return m_settings.name;
}

Folder::Folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_path = ::mkdtemp(pattern.data());
}

Folder::~Folder()
{
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

const std::string &Folder::path() const
{
    return m_path;
}

bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void limitTime(int seconds)
{
    std::thread([seconds] {
        sleepMs(1000 * seconds);
        ::_exit(2);
    }).detach();
}

}
