#include "stage.h"

#include <json/reader.h>
#include <json/writer.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iomanip>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace rosemaryshift::review {

namespace {

constexpr std::string_view OperatorTopic = "keyed.op";
constexpr std::string_view ServerTopic = "keyed.servers";
constexpr int RenewalMs = 1200;

std::string bigEndian(unsigned long long value, int bytes)
{
    std::string text;
    for (int byte = bytes - 1; byte >= 0; --byte) {
        text += static_cast<char>(value >> (8 * byte) & 0xff);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8 | (byte < count ? static_cast<unsigned char>(bytes[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += digit <= count ? Digits[group >> (18 - 6 * digit) & 63U] : '=';
        }
    }
    return text;
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parsed(const std::string &text)
{
    Json::Value value;
    std::string errors;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    return value;
}

unsigned long long queryNumber(const Received &request, const std::string &key, unsigned long long fallback)
{
    const std::optional<std::string> text = request.query(key);
    return text ? std::strtoull(text->c_str(), nullptr, 10) : fallback;
}

Reply jsonReply(int status, const Json::Value &body)
{
    return {status, {{"Content-Type", "application/json"}}, toText(body), false, {}};
}

Json::Value route(const std::string &name, const std::string &kind, const std::string &service, int attempts, int timeoutMs)
{
    Json::Value value;
    value["name"] = "r-" + name;
    value["host"] = "yard.example";
    value["path_prefix"] = "/" + name + "/";
    value["kind"] = kind;
    value["timeout_ms"] = timeoutMs;
    value["latency_goal_ms"] = 500;
    value["priority"] = 1;
    value["service"] = service;
    value["max_attempts"] = attempts;
    value["resumable"] = name == "plan";
    return value;
}

}

Record::Record(const std::string &folder)
    : m_file(folder + "/record.txt")
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << seconds() << " " << line << std::endl;
}

double Record::seconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
}

bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool await(int limitMs, const std::function<bool()> &condition)
{
    for (int waited = 0; waited < limitMs; waited += 20) {
        if (condition()) {
            return true;
        }
        sleepMs(20);
    }
    return condition();
}

Store::Store(Record &record)
    : m_record(record)
{
    m_listener = std::make_unique<Listener>("127.0.0.1", [this](const Received &request) { return handle(request); });
}

std::string Store::endpoint() const
{
    return m_listener->endpoint();
}

void Store::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value.value_or("")});
    m_changed.notify_all();
}

std::string Store::newest(const std::string &topic, const std::string &key) const
{
    const std::lock_guard lock(m_mutex);
    std::string value;
    const auto found = m_topics.find(topic);
    if (found != m_topics.end()) {
        for (const Entry &entry : found->second) {
            value = entry.key == key ? entry.value : value;
        }
    }
    return value;
}

void Store::setAway(bool away)
{
    const std::lock_guard lock(m_mutex);
    m_away = away;
    m_changed.notify_all();
    m_record.write(away ? "store: away" : "store: back");
}

void Store::copy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_topics;
    m_record.write("store: copied");
}

void Store::restore()
{
    const std::lock_guard lock(m_mutex);
    Topics restored = m_copy;
    for (const std::string_view topic : {OperatorTopic, ServerTopic}) {
        const std::vector<Entry> &all = m_topics[std::string(topic)];
        std::vector<Entry> &kept = restored[std::string(topic)];
        kept.insert(kept.end(), all.begin() + static_cast<std::ptrdiff_t>(kept.size()), all.end());
    }
    m_topics = std::move(restored);
    ++m_era;
    m_changed.notify_all();
    m_record.write("store: goes on from the copy, era " + std::to_string(m_era));
}

Reply Store::handle(const Received &request)
{
    Reply reply{404, {}, "{}", false, {}};
    bool away = false;
    {
        const std::lock_guard lock(m_mutex);
        away = m_away;
    }
    if (away) {
        reply.closes = true;
        return reply;
    }
    if (request.path() == "/log-append") {
        reply = append(request);
    } else if (request.path() == "/log-read") {
        reply = read(request);
    } else if (request.path() == "/log-newest") {
        reply = newestRecords(request);
    }
    const std::lock_guard lock(m_mutex);
    reply.fields.emplace_back("Store-Era", std::to_string(m_era));
    return reply;
}

Reply Store::append(const Received &request)
{
    const std::string topic = request.query("topic").value_or("");
    const std::lock_guard lock(m_mutex);
    if (topic == OperatorTopic || topic == ServerTopic) {
        return jsonReply(403, Json::Value(Json::objectValue));
    }
    std::vector<Entry> &entries = m_topics[topic];
    Json::Value body;
    if (queryNumber(request, "at", entries.size()) != entries.size()) {
        body["end"] = static_cast<Json::UInt64>(entries.size());
        return jsonReply(412, body);
    }
    body["offset"] = static_cast<Json::UInt64>(entries.size());
    std::size_t at = 0;
    while (at + 5 <= request.body.size()) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < 4; ++byte) {
            length = length << 8 | static_cast<unsigned char>(request.body[at + byte]);
        }
        const std::string content = request.body.substr(at + 4, length);
        const std::size_t keyBytes = static_cast<unsigned char>(content.at(0));
        entries.push_back({content.substr(1, keyBytes), content.substr(1 + keyBytes)});
        at += 4 + length;
    }
    body["end"] = static_cast<Json::UInt64>(entries.size());
    m_changed.notify_all();
    return jsonReply(200, body);
}

Reply Store::read(const Received &request)
{
    const std::string topic = request.query("topic").value_or("");
    const unsigned long long from = queryNumber(request, "from", 0);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(queryNumber(request, "wait_ms", 0));
    std::unique_lock lock(m_mutex);
    while (true) {
        if (m_away) {
            return {503, {}, {}, true, {}};
        }
        const std::vector<Entry> &entries = m_topics[topic];
        if (from > entries.size()) {
            Json::Value body;
            body["first"] = 0;
            return jsonReply(410, body);
        }
        if (from < entries.size() || std::chrono::steady_clock::now() >= until) {
            Reply reply;
            reply.body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
            for (std::size_t offset = from; offset < entries.size(); ++offset) {
                const std::string content = static_cast<char>(entries[offset].key.size()) + entries[offset].key + entries[offset].value;
                reply.body += bigEndian(content.size(), 4) + content;
            }
            return reply;
        }
        m_changed.wait_until(lock, until);
    }
}

Reply Store::newestRecords(const Received &request)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    const std::vector<Entry> &entries = m_topics[request.query("topic").value_or("")];
    for (std::size_t offset = 0; offset < entries.size(); ++offset) {
        newest[entries[offset].key] = {entries[offset].value, offset};
    }
    Json::Value body;
    body["entries"] = Json::Value(Json::arrayValue);
    for (const auto &[key, value] : newest) {
        if (!value.first.empty()) {
            Json::Value entry;
            entry["key"] = key;
            entry["value"] = base64(value.first);
            entry["offset"] = static_cast<Json::UInt64>(value.second);
            body["entries"].append(entry);
        }
    }
    body["has_more"] = false;
    body["end"] = static_cast<Json::UInt64>(entries.size());
    return jsonReply(200, body);
}

Cloud::Cloud(Record &record)
    : m_record(record)
{
    m_listener = std::make_unique<Listener>("127.0.0.1", [this](const Received &request) { return handle(request); });
}

std::string Cloud::endpoint() const
{
    return m_listener->endpoint();
}

std::vector<DutyCall> Cloud::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

Reply Cloud::handle(const Received &request)
{
    DutyCall call;
    call.at = m_record.seconds();
    call.holder = request.field("x-rosemaryshift-duty-holder");
    call.fence = std::strtoull(request.field("x-rosemaryshift-fence-token").c_str(), nullptr, 10);
    call.path = request.path();
    call.body = parsed(request.body);
    m_record.write("platform: " + call.path + " holder=" + call.holder + " fence=" + std::to_string(call.fence) + " " + request.body);
    const std::lock_guard lock(m_mutex);
    m_calls.push_back(std::move(call));
    return {200, {{"Content-Type", "application/json"}}, "{}", false, {}};
}

Server::Server(Record &record, Store &store, const std::string &id, const std::string &service, Handler handler, const std::string &version)
    : m_record(record)
    , m_store(store)
    , m_id(id)
    , m_service(service)
    , m_version(version)
    , m_handler(std::move(handler))
{
    m_listener = std::make_unique<Listener>("127.0.0.1", [this](const Received &request) { return handle(request); });
    m_renewal = std::thread([this] { renew(); });
}

Server::~Server()
{
    m_stopping = true;
    m_renewal.join();
}

std::vector<Received> Server::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void Server::renew()
{
    Json::Value entry;
    entry["service"] = m_service;
    entry["address"] = m_listener->endpoint();
    entry["zone"] = "miskolc-a";
    entry["version"] = m_version;
    entry["slots"] = 6;
    entry["state"] = "ready";
    entry["warmup_left_ms"] = 0;
    entry["born"] = 1'760'000'000'000;
    for (int sequence = 1; !m_stopping; ++sequence) {
        entry["sequence"] = sequence;
        m_store.put(std::string(ServerTopic), m_id, toText(entry));
        for (int waited = 0; waited < RenewalMs && !m_stopping; waited += 50) {
            sleepMs(50);
        }
    }
}

Reply Server::handle(const Received &request)
{
    const std::string id = request.field("x-rosemaryshift-attempt-id");
    const std::string expected = request.field("x-rosemaryshift-expect-instance");
    Reply reply;
    if (!id.empty()) {
        reply.fields.emplace_back("X-Rosemaryshift-Attempt-Id", id);
    }
    if (id.empty() || (!expected.empty() && expected != m_id)) {
        reply.status = id.empty() ? 400 : 421;
        reply.fields.emplace_back("X-Rosemaryshift-Not-Executed", "1");
        m_record.write("server " + m_id + ": rejects " + id + " with " + std::to_string(reply.status));
        return reply;
    }
    std::string seen;
    for (const auto &[name, value] : request.fields) {
        seen += " " + name + "=" + value;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(request);
    }
    m_record.write("server " + m_id + ": runs " + request.method + " " + request.target + seen);
    reply.fields.emplace_back("X-Rosemaryshift-Response-Seal", "seal-" + id);
    reply.body = "answer to " + id;
    if (m_handler) {
        m_handler(request, reply);
    }
    return reply;
}

Gateways::Gateways(Record &record, const std::string &root, const std::string &storeEndpoint, const std::string &cloudEndpoint, int count)
    : m_record(record)
    , m_root(root)
    , m_storeEndpoint(storeEndpoint)
    , m_cloudEndpoint(cloudEndpoint)
    , m_count(count)
    , m_port(freePorts(6))
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    m_folder = folder;
    for (int index = 0; index < count; ++index) {
        std::ofstream(m_folder + "/" + name(index) + ".toml") << settings(index);
        start(index);
    }
}

Gateways::~Gateways()
{
    for (const auto &[index, process] : m_processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Gateways::start(int index)
{
    const std::string program = m_root + "/target/bin/rosemaryshift-gateway";
    const std::string variable = "ROSEMARYSHIFT_BOOT=" + m_folder + "/" + name(index) + ".toml";
    const std::string log = m_folder + "/" + name(index) + ".log";
    const pid_t process = ::fork();
    if (process == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::chdir(m_root.c_str()) != 0) {
            ::_exit(127);
        }
        const std::array<const char *, 4> arguments{"rosemaryshift-gateway", "--settings-variable", "ROSEMARYSHIFT_BOOT", nullptr};
        const std::array<const char *, 4> environment{variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr};
        ::execve(program.c_str(), const_cast<char *const *>(arguments.data()), const_cast<char *const *>(environment.data()));
        ::_exit(127);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_processes[index] = process;
    }
    m_record.write(name(index) + ": started");
}

pid_t Gateways::process(int index) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_processes.find(index);
    return found == m_processes.end() ? 0 : found->second;
}

void Gateways::signal(int index, int number)
{
    m_record.write(name(index) + ": gets signal " + std::to_string(number));
    if (const pid_t running = process(index)) {
        ::kill(running, number);
    }
}

void Gateways::awaitEnd(int index)
{
    if (const pid_t running = process(index)) {
        ::waitpid(running, nullptr, 0);
    }
    const std::lock_guard lock(m_mutex);
    m_processes.erase(index);
    m_record.write(name(index) + ": ended");
}

unsigned long long Gateways::memory(int index) const
{
    unsigned long long size = 0;
    unsigned long long resident = 0;
    if (const pid_t running = process(index)) {
        std::ifstream("/proc/" + std::to_string(running) + "/statm") >> size >> resident;
    }
    return resident * static_cast<unsigned long long>(::sysconf(_SC_PAGESIZE));
}

bool Gateways::awaitReady(int limitMs) const
{
    return await(limitMs, [this] {
        for (int index = 0; index < m_count; ++index) {
            if (call(address(index) + ":" + std::to_string(m_port + 1), "GET", "/readyz", "Host: x\r\n", "", 500).status != 200) {
                return false;
            }
        }
        return true;
    });
}

std::string Gateways::front(int index) const
{
    return address(index) + ":" + std::to_string(m_port);
}

std::string Gateways::name(int index)
{
    return "edge-miskolc-a-" + std::to_string(index + 1);
}

std::string Gateways::address(int index) const
{
    return "127.0.3." + std::to_string(index + 1);
}

std::string Gateways::settings(int index) const
{
    std::ostringstream text;
    text << "name = \"" << name(index) << "\"\nzone = \"miskolc-a\"\naddress = \"" << address(index) << "\"\n[listen]\ncallers = \"" << address(index) << ":"
         << m_port << "\"\nreadiness = \"" << address(index) << ":" << m_port + 1 << "\"\npeers = \"" << address(index) << ":" << m_port + 2
         << "\"\ngossip_port = " << m_port + 3 << "\nrelay_port = " << m_port + 4 << "\nmetrics_port = " << m_port + 5 << "\n[peers]\nseeds = [\"" << address(0)
         << ":" << m_port + 2 << "\"]\n[platform]\nlog = \"" << m_storeEndpoint << "\"\nduties = \"" << m_cloudEndpoint
         << "\"\n[promises]\nrenewal_ms = 1200\nleaving_ms = 2000\nstop_s = 8\nconfiguration_ms = 2000\nrevocation_ms = 5000\nretry_ratio = 0.2\n"
            "retry_slack = 56\nretry_window_s = 10\nquota_excess = 0.1\nquota_slack = 140000\nlease_ms = 3000\nusage_window_s = 5\nusage_late_s = 10\n";
    return text.str();
}

std::string configuration(int version)
{
    Json::Value value;
    value["version"] = version;
    value["routes"].append(route("plan", "streaming", "models", 2, 15000));
    value["routes"].append(route("question", "streaming", "models", 1, 3000));
    value["routes"].append(route("booking", "non_idempotent", "dispatch", 2, 1000));
    value["routes"].append(route("lookup", "idempotent", "dispatch", 2, 1000));
    for (const char *const name : {"models", "dispatch"}) {
        Json::Value service;
        service["name"] = name;
        service["health_path"] = "/healthz";
        service["max_conns"] = 110;
        value["services"].append(service);
    }
    value["limits"]["max_header_bytes"] = 16384;
    value["limits"]["max_body_bytes"] = 1048576;
    value["limits"]["header_timeout_ms"] = 5000;
    value["limits"]["idle_timeout_ms"] = 15000;
    Json::Value tenant;
    tenant["name"] = "yard";
    tenant["api_keys"].append("yard-key");
    value["tenants"].append(tenant);
    return toText(value);
}

std::string clientLines(const std::string &attemptId, int deadlineMs)
{
    return "Host: yard.example\r\nX-Rosemaryshift-Attempt-Id: " + attemptId + "\r\nX-Rosemaryshift-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nX-Api-Key: yard-key\r\n";
}

}
