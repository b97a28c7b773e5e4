#include "lab.h"

#include <arpa/inet.h>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lab {

namespace {

const Clock::time_point Start = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;
std::mutex forkMutex;
std::set<pid_t> gateways; ///< Under forkMutex.

sockaddr_in socketAddress(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int makeSocket()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

/// Parses the lines of a head.
Message parseHead(const std::string &head)
{
    Message message;
    std::size_t line = head.find("\r\n");
    message.start = head.substr(0, line);
    while (line != std::string::npos && line + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
        }
        line = next;
    }
    return message;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *const Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8U) | (at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (unsigned digit = 0; digit < 4; ++digit) {
            text += at + digit > bytes.size() ? '=' : Digits[(group >> (18U - 6U * digit)) & 63U];
        }
    }
    return text;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.rfind(name + "=", 0) == 0) {
            return pair.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

std::string answerText(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nStore-Era: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

long elapsed()
{
    return std::chrono::duration_cast<milliseconds>(Clock::now() - Start).count();
}

long wallClock()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void rest(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

void finish(int code)
{
    const std::lock_guard lock(forkMutex);
    for (const pid_t pid : gateways) {
        ::kill(pid, SIGKILL);
        int status = 0;
        ::waitpid(pid, &status, 0);
    }
    std::_Exit(code);
}

void openRecord(const std::string &path)
{
    const std::lock_guard lock(recordMutex);
    recordFile.open(path, std::ios::trunc);
}

void record(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    recordFile << elapsed() << " ms  " << line << std::endl;
}

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

bool Message::has(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return true;
        }
    }
    return false;
}

int Message::status() const
{
    const std::size_t space = start.find(' ');
    return start.rfind("HTTP/", 0) == 0 && space != std::string::npos ? std::atoi(start.c_str() + space) : 0;
}

std::string Message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string Message::target() const
{
    const std::size_t first = start.find(' ');
    const std::size_t second = start.find(' ', first + 1);
    return first == std::string::npos ? std::string() : start.substr(first + 1, second - first - 1);
}

Connection::Connection(int descriptor)
    : m_descriptor(descriptor)
{
}

Connection::Connection(const std::string &address, int port, milliseconds timeout)
    : m_descriptor(makeSocket())
{
    const sockaddr_in to = socketAddress(address, port);
    const int flags = ::fcntl(m_descriptor, F_GETFL);
    ::fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    bool connected = ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) == 0;
    if (!connected && errno == EINPROGRESS) {
        pollfd poller{m_descriptor, POLLOUT, 0};
        int error = 1;
        socklen_t size = sizeof error;
        connected
            = ::poll(&poller, 1, static_cast<int>(timeout.count())) > 0 && ::getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    ::fcntl(m_descriptor, F_SETFL, flags);
    if (!connected) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

Connection::~Connection()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

bool Connection::ok() const
{
    return m_descriptor >= 0;
}

int Connection::descriptor() const
{
    return m_descriptor;
}

bool Connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (m_descriptor >= 0 && sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return m_descriptor >= 0;
}

bool Connection::fill(Clock::time_point until)
{
    if (m_descriptor < 0) {
        return false;
    }
    const long left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd poller{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&poller, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    m_reset = count < 0;
    if (count > 0) {
        m_buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return count > 0;
}

std::optional<Message> Connection::readRequest()
{
    const Clock::time_point until = Clock::now() + std::chrono::minutes(5);
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    Message message = parseHead(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    const std::size_t length = message.has("Content-Length") ? std::strtoul(message.header("Content-Length").c_str(), nullptr, 10) : 0;
    while (m_buffer.size() < length) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    message.complete = true;
    return message;
}

Message Connection::readAnswer(Clock::time_point until, const std::function<void(const std::string &)> &onPiece)
{
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            Message none;
            none.reset = m_reset;
            return none;
        }
    }
    Message message = parseHead(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    const auto take = [&](std::size_t bytes) {
        message.body += m_buffer.substr(0, bytes);
        if (onPiece && bytes > 0) {
            onPiece(m_buffer.substr(0, bytes));
        }
        m_buffer.erase(0, bytes);
    };
    if (message.header("Transfer-Encoding") == "chunked") {
        while (true) {
            const std::size_t line = m_buffer.find("\r\n");
            if (line != std::string::npos) {
                const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
                if (m_buffer.size() >= line + 2 + size + 2) {
                    m_buffer.erase(0, line + 2);
                    take(size);
                    m_buffer.erase(0, 2);
                    if (size == 0) {
                        message.complete = true;
                        return message;
                    }
                    continue;
                }
            }
            if (!fill(until)) {
                message.reset = m_reset;
                return message;
            }
        }
    }
    if (message.has("Content-Length")) {
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (message.body.size() < length) {
            if (m_buffer.empty() && !fill(until)) {
                message.reset = m_reset;
                return message;
            }
            take(std::min(m_buffer.size(), length - message.body.size()));
        }
        message.complete = true;
        return message;
    }
    do {
        take(m_buffer.size());
    } while (fill(until));
    message.reset = m_reset;
    message.complete = !m_reset && Clock::now() < until;
    return message;
}

void Connection::reset()
{
    if (m_descriptor >= 0) {
        const linger option{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

void Connection::finish()
{
    if (m_descriptor >= 0) {
        ::shutdown(m_descriptor, SHUT_WR);
        while (fill(Clock::now() + std::chrono::seconds(2))) {
            m_buffer.clear();
        }
    }
}

void Connection::interrupt() const
{
    // Dissolving the association resets the connection at once, also while another thread uses the socket.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    (void)::connect(m_descriptor, &none, sizeof none);
}

struct Listener::State {
    std::mutex mutex;
    std::condition_variable changed;
    int socket = -1;
    bool down = false;
    std::set<Connection *> open;
    std::thread thread;
};

Listener::Listener(const std::string &address, int port, Handler handler)
    : m_address(address)
    , m_port(port)
    , m_handler(std::move(handler))
{
    open();
}

Listener::~Listener()
{
    crash();
}

int Listener::port() const
{
    return m_port;
}

void Listener::open()
{
    m_state = std::make_shared<State>();
    m_state->socket = makeSocket();
    const int on = 1;
    ::setsockopt(m_state->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socketAddress(m_address, m_port);
    if (::bind(m_state->socket, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(m_state->socket, 512) != 0) {
        record("cannot listen on " + m_address + ":" + std::to_string(m_port));
        finish(2);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(m_state->socket, reinterpret_cast<sockaddr *>(&bound), &size);
    m_port = ntohs(bound.sin_port);
    m_state->thread = std::thread([state = m_state, handler = m_handler] {
        while (true) {
            const int accepted = ::accept4(state->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::shared_ptr<Connection> connection = std::make_shared<Connection>(accepted);
            {
                const std::lock_guard lock(state->mutex);
                if (state->down) {
                    connection->reset();
                    return;
                }
                state->open.insert(connection.get());
            }
            std::thread([state, handler, connection] {
                handler(*connection);
                const std::lock_guard lock(state->mutex);
                state->open.erase(connection.get());
                if (state->down) {
                    connection->reset();
                }
                state->changed.notify_all();
            }).detach();
        }
    });
}

void Listener::crash()
{
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->down) {
            return;
        }
        m_state->down = true;
        ::shutdown(m_state->socket, SHUT_RDWR);
        for (Connection *const connection : m_state->open) {
            connection->interrupt();
        }
    }
    m_state->thread.join();
    ::close(m_state->socket);
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait_for(lock, std::chrono::seconds(3), [this] { return m_state->open.empty(); });
}

void Listener::hang()
{
    {
        const std::lock_guard lock(m_state->mutex);
        ::shutdown(m_state->socket, SHUT_RDWR);
    }
    m_state->thread.join();
    ::close(m_state->socket);
    // Nothing accepts from this socket, and its queue is full.
    const int socket = makeSocket();
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = socketAddress(m_address, m_port);
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(socket, 0) != 0) {
        record("cannot listen again on port " + std::to_string(m_port));
        finish(2);
    }
    m_fillers.push_back(socket);
    for (int number = 0; number < 4; ++number) {
        const int filler = makeSocket();
        ::fcntl(filler, F_SETFL, O_NONBLOCK);
        (void)::connect(filler, reinterpret_cast<const sockaddr *>(&at), sizeof at);
        m_fillers.push_back(filler);
    }
}

void Listener::resetAll()
{
    const std::lock_guard lock(m_state->mutex);
    for (Connection *const connection : m_state->open) {
        connection->interrupt();
    }
}

void Listener::restart()
{
    open();
}

Platform::Platform(int listeners)
    : m_rejecting(static_cast<std::size_t>(listeners))
{
    for (int number = 0; number < listeners; ++number) {
        m_listeners.push_back(std::make_unique<Listener>("127.0.0.1", 0, [this, number](Connection &connection) { serve(connection, number); }));
    }
}

std::string Platform::address(int listener) const
{
    return "127.0.0.1:" + std::to_string(m_listeners.at(static_cast<std::size_t>(listener))->port());
}

void Platform::setRejecting(int listener, bool rejecting)
{
    const std::lock_guard lock(m_mutex);
    m_rejecting.at(static_cast<std::size_t>(listener)) = rejecting;
}

void Platform::put(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_topics[topic].push_back({key, value});
}

int Platform::reads(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_reads.find(topic);
    return found == m_reads.end() ? 0 : found->second;
}

std::vector<std::string> Platform::dutyCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_dutyCalls;
}

void Platform::serve(Connection &connection, int listener)
{
    while (const std::optional<Message> request = connection.readRequest()) {
        const std::string target = request->target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string topic = queryValue(target, "topic");
        std::string answer = answerText("404 Not Found", "");
        bool rejecting = false;
        {
            const std::lock_guard lock(m_mutex);
            rejecting = m_rejecting.at(static_cast<std::size_t>(listener));
        }
        if (rejecting) {
            answer = answerText("503 Service Unavailable", "");
        } else if (path == "/log-read") {
            const std::string wait = queryValue(target, "wait_ms");
            answer = read(topic, std::strtoull(queryValue(target, "from").c_str(), nullptr, 10), milliseconds(std::strtol(wait.c_str(), nullptr, 10)));
        } else if (path == "/log-newest") {
            answer = newest(topic);
        } else if (path == "/log-append") {
            const std::lock_guard lock(m_mutex);
            std::vector<Record> &records = m_topics[topic];
            const std::string at = queryValue(target, "at");
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != records.size()) {
                answer = answerText("412 Precondition Failed", "{\"end\":" + std::to_string(records.size()) + "}");
            } else {
                const std::size_t keyBytes = static_cast<unsigned char>(request->body.at(4));
                const std::string value = request->body.substr(5 + keyBytes);
                records.push_back({request->body.substr(5, keyBytes), value.empty() ? std::nullopt : std::optional(value)});
                answer = answerText("200 OK", "{\"offset\":" + std::to_string(records.size() - 1) + ",\"end\":" + std::to_string(records.size()) + "}");
            }
        } else if (path == "/usage" || path == "/scale") {
            const std::lock_guard lock(m_mutex);
            m_dutyCalls.push_back(path + " " + request->header("X-Rosemaryshift-Duty-Holder") + " " + request->header("X-Rosemaryshift-Fence-Token") + " "
                                  + request->body);
            answer = answerText("200 OK", "");
        }
        if (!connection.send(answer)) {
            return;
        }
    }
}

std::string Platform::read(const std::string &topic, std::uint64_t from, milliseconds wait)
{
    const Clock::time_point until = Clock::now() + wait;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            const std::vector<Record> &records = m_topics[topic];
            if (from > records.size()) {
                return answerText("410 Gone", "{\"first\":0}");
            }
            if (from < records.size() || Clock::now() >= until) {
                ++m_reads[topic];
                std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
                for (std::uint64_t offset = from; offset < records.size(); ++offset) {
                    const Record &one = records[offset];
                    const std::string content = static_cast<char>(one.key.size()) + one.key + one.value.value_or("");
                    body += bigEndian(content.size(), 4) + content;
                }
                return answerText("200 OK", body);
            }
        }
        rest(milliseconds(2));
    }
}

std::string Platform::newest(const std::string &topic) const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::pair<std::optional<std::string>, std::uint64_t>> entries;
    std::uint64_t end = 0;
    if (const auto found = m_topics.find(topic); found != m_topics.end()) {
        for (const Record &one : found->second) {
            entries[one.key] = {one.value, end++};
        }
    }
    std::string rows;
    for (const auto &[key, value] : entries) {
        if (value.first) {
            rows += std::string(rows.empty() ? "" : ",") + R"({"key":")" + key + R"(","value":")" + base64(*value.first) + R"(","offset":)"
                + std::to_string(value.second) + "}";
        }
    }
    return answerText("200 OK", "{\"entries\":[" + rows + "],\"has_more\":false,\"end\":" + std::to_string(end) + "}");
}

const std::string &folder()
{
    static const std::string Path = [] {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        const char *const made = ::mkdtemp(pattern.data());
        return std::string(made != nullptr ? made : ".");
    }();
    return Path;
}

int freePorts()
{
    for (int first = 20000 + ::getpid() % 500 * 20; first < 31000; first += 6) {
        bool free = true;
        for (int port = first; port < first + 6 && free; ++port) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int descriptor = ::socket(AF_INET, type, 0);
                const sockaddr_in at = socketAddress("0.0.0.0", port);
                free = free && ::bind(descriptor, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
                ::close(descriptor);
            }
        }
        if (free) {
            return first;
        }
    }
    return 0;
}

std::string entry(const std::string &service, int port, const std::string &version, long born, const std::string &state)
{
    static std::atomic<int> sequence = 0;
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"miskolc-a","version":")" + version
        + R"(","slots":64,"state":")" + state + R"(","warmup_left_ms":0,"sequence":)" + std::to_string(++sequence) + R"(,"born":)" + std::to_string(born) + "}";
}

Gateway::Gateway(const std::string &name, const std::string &host, const std::vector<std::string> &seeds, const Platform &platform, int ports, int listener)
    : m_host(host)
    , m_ports(ports)
{
    std::string seedList;
    for (const std::string &seed : seeds) {
        seedList += (seedList.empty() ? "\"" : ",\"") + seed + ":" + std::to_string(ports + 2) + "\"";
    }
    const std::string settings = folder() + "/" + name + ".toml";
    std::ofstream(settings) << "name = \"" << name << "\"\nzone = \"miskolc-a\"\naddress = \"" << host << "\"\n[listen]\ncallers = \"" << host << ":" << ports
                            << "\"\nreadiness = \"" << host << ":" << ports + 1 << "\"\npeers = \"" << host << ":" << ports + 2
                            << "\"\ngossip_port = " << ports + 3 << "\nrelay_port = " << ports + 4 << "\nmetrics_port = " << ports + 5 << "\n[peers]\nseeds = ["
                            << seedList << "]\n[platform]\nlog = \"" << platform.address(listener) << "\"\nfirst_start = true\nduties = \""
                            << platform.address(listener)
                            << "\"\n[process]\nmemory_mb = 260\n[promises]\nrenewal_ms = 1200\nleaving_ms = 2000\nstop_s = 8\nconfiguration_ms = 2000\n"
                               "revocation_ms = 5000\nretry_ratio = 0.2\nretry_slack = 56\nretry_window_s = 10\nquota_excess = 0.1\nquota_slack = 140000\n"
                               "lease_ms = 3000\nusage_window_s = 5\nusage_late_s = 10\n";
    const std::string log = folder() + "/" + name + ".log";
    const std::string program = "target/bin/rosemaryshift-gateway";
    const std::lock_guard lock(forkMutex);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::setenv("ROSEMARYSHIFT_BOOT", settings.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "--settings-variable", "ROSEMARYSHIFT_BOOT", static_cast<char *>(nullptr));
        std::_Exit(127);
    }
    gateways.insert(m_pid);
}

Gateway::~Gateway()
{
    if (m_pid > 0 && !ended()) {
        const std::lock_guard lock(forkMutex);
        ::kill(m_pid, SIGKILL);
        int status = 0;
        ::waitpid(m_pid, &status, 0);
        gateways.erase(m_pid);
    }
}

const std::string &Gateway::host() const
{
    return m_host;
}

int Gateway::port() const
{
    return m_ports;
}

pid_t Gateway::pid() const
{
    return m_pid;
}

bool Gateway::awaitReady()
{
    const Clock::time_point until = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < until && !ended()) {
        Connection connection(m_host, m_ports + 1);
        if (connection.ok() && connection.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            && connection.readAnswer(Clock::now() + std::chrono::seconds(1)).status() == 200) {
            return true;
        }
        rest(milliseconds(50));
    }
    return false;
}

void Gateway::signal(int number) const
{
    ::kill(m_pid, number);
}

std::optional<int> Gateway::ended()
{
    int status = 0;
    if (!m_ended && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        {
            const std::lock_guard lock(forkMutex);
            gateways.erase(m_pid);
        }
        m_ended = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    }
    return m_ended;
}

std::string event(int number, const std::string &maker)
{
    return "id: " + std::to_string(number) + "\ndata: " + maker + "\n\n";
}

std::string route(const std::string &name, const std::string &kind, const std::string &service, int attempts, bool resumable, int timeoutMs)
{
    return R"({"name":"r-)" + name + R"(","host":"yard.example","path_prefix":"/)" + name + R"(/","kind":")" + kind + R"(","timeout_ms":)"
        + std::to_string(timeoutMs) + R"(,"latency_goal_ms":800,"priority":1,"service":")" + service + R"(","max_attempts":)" + std::to_string(attempts)
        + R"(,"public":true,"sticky":)" + (kind == "streaming" ? "true" : "false") + R"(,"resumable":)" + (resumable ? "true" : "false")
        + R"(,"gap_target_ms":500})";
}

std::string configuration(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::string routeList;
    for (const std::string &one : routes) {
        routeList += (routeList.empty() ? "" : ",") + one;
    }
    std::string serviceList;
    for (const std::string &service : services) {
        const bool engine = service.rfind("model", 0) == 0;
        serviceList += std::string(serviceList.empty() ? "" : ",") + R"({"name":")" + service + R"(","health_path":"/healthz","max_conns":370)"
            + (engine ? R"(,"engine":{"slots":64,"kv_capacity":898864,"kv_bytes":35136,"stride":5})" : "") + "}";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routeList + R"(],"services":[)" + serviceList
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::string promptHeaders(int number)
{
    constexpr int SharedParts = 48;
    char prefix[64];
    std::snprintf(prefix, sizeof prefix, "%x:5382,%x:1228", 0x5c1e0000 + number % SharedParts, 0x20000000 + number);
    return "X-Rosemaryshift-Model: m\r\nX-Rosemaryshift-Token-Count: 6610,300\r\nX-Rosemaryshift-Prompt-Prefix: " + std::string(prefix) + "\r\n";
}

std::string requestHead(const std::string &method, const std::string &target, const std::string &attempt, int deadlineMs, const std::string &more)
{
    return method + " " + target + " HTTP/1.1\r\nHost: yard.example\r\nX-Rosemaryshift-Attempt-Id: " + attempt
        + "\r\nX-Rosemaryshift-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + more + "\r\n";
}

ModelServer::ModelServer(Platform &platform, std::string instance, std::string service, std::string version, StreamShape shape)
    : m_platform(platform)
    , m_instance(std::move(instance))
    , m_service(std::move(service))
    , m_shape(shape)
{
    start(version);
}

void ModelServer::start(const std::string &version)
{
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
    }
    if (m_listener) {
        m_listener->restart();
    } else {
        m_listener = std::make_unique<Listener>("127.0.0.1", 0, [this](Connection &connection) { serve(connection); });
    }
    m_platform.put("keyed.servers", m_instance, entry(m_service, m_listener->port(), version, wallClock()));
    record("server " + m_instance + " starts, version " + version);
}

void ModelServer::crash()
{
    record("server " + m_instance + " ends, with " + std::to_string(m_running) + " streams in progress");
    ++m_life;
    m_listener->crash();
}

void ModelServer::cutOff()
{
    m_silent = true;
    m_listener->hang();
    record("server " + m_instance + " is cut off, with " + std::to_string(m_running) + " streams in progress");
}

void ModelServer::resetConnections()
{
    record("connections to server " + m_instance + " are reset");
    ++m_life;
    m_listener->resetAll();
}

int ModelServer::running() const
{
    return m_running;
}

int ModelServer::began() const
{
    return m_began;
}

int ModelServer::port() const
{
    return m_listener->port();
}

void ModelServer::setShape(StreamShape shape)
{
    const std::lock_guard lock(m_mutex);
    m_shape = shape;
}

void ModelServer::serve(Connection &connection)
{
    const int life = m_life;
    while (const std::optional<Message> request = connection.readRequest()) {
        const std::string attempt = request->header("X-Rosemaryshift-Attempt-Id");
        const std::string identity = "X-Rosemaryshift-Attempt-Id: " + attempt + "\r\n";
        if (request->target() == "/healthz") {
            connection.send("HTTP/1.1 200 OK\r\nX-Rosemaryshift-Instance-Id: " + m_instance + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (request->target() == "/report") {
            const std::string body = R"({"stage":"colocated","models":[],"busy":false,"sequence":1,"queued":0,"running":0,"kv_used":0,"kv_total":898864})";
            connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            continue;
        }
        const std::string expected = request->header("X-Rosemaryshift-Expect-Instance");
        if (!expected.empty() && expected != m_instance) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\n" + identity + "X-Rosemaryshift-Instance-Id: " + m_instance + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        StreamShape shape;
        std::string maker;
        {
            const std::lock_guard lock(m_mutex);
            shape = m_shape;
            maker = m_instance + " " + m_version;
        }
        const int first = request->has("Last-Event-Id") ? std::atoi(request->header("Last-Event-Id").c_str()) + 1 : 1;
        record("server " + m_instance + " runs " + attempt + " from event " + std::to_string(first));
        ++m_began;
        ++m_running;
        rest(shape.beforeFirst);
        bool sent = connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + identity + "X-Rosemaryshift-Response-Seal: seal-" + attempt
                                    + "\r\n" + (shape.unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n") + "\r\n");
        for (int number = first; number <= shape.events && sent && life == m_life; ++number) {
            if (m_silent || (shape.silentAfter > 0 && number > shape.silentAfter)) {
                pollfd poller{connection.descriptor(), POLLIN, 0};
                while (life == m_life && ::poll(&poller, 1, 10) == 0) { }
                --m_running;
                return;
            }
            const std::string text = event(number, maker);
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            sent = connection.send(shape.unframed ? text : size + text + "\r\n");
            rest(shape.pause);
        }
        --m_running;
        if (!sent || life != m_life) {
            return;
        }
        if (shape.unframed) {
            connection.finish();
            return;
        }
        connection.send("0\r\n\r\n");
    }
}

}
