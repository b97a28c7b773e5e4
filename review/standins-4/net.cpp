#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <random>
#include <stdexcept>

namespace standins {

namespace {

/// Longest time in which a blocking call looks at nothing else.
constexpr int StepMs = 10;
constexpr std::int64_t Forever = 1'000'000'000;

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

void setOption(int descriptor, int level, int option, int value)
{
    ::setsockopt(descriptor, level, option, &value, sizeof value);
}

bool isFree(std::uint16_t port, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in any = socketAddress("0.0.0.0", port);
    const bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&any), sizeof any) == 0;
    ::close(descriptor);
    return isBound;
}

}

std::optional<std::string> find(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalIgnoringCase(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::int64_t nowMs()
{
    static const std::chrono::steady_clock::time_point Start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - Start).count();
}

void sleepMs(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(time, 0)));
}

Connection::Connection(int descriptor, const std::atomic<bool> *stop)
    : m_descriptor(descriptor)
    , m_stop(stop)
{
    setOption(m_descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(const std::string &address, std::uint16_t port, std::int64_t timeoutMs)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = socketAddress(address, port);
    int error = 0;
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        error = errno;
        if (error == EINPROGRESS) {
            pollfd waits{descriptor, POLLOUT, 0};
            error = ::poll(&waits, 1, static_cast<int>(timeoutMs)) > 0 ? 0 : ETIMEDOUT;
            socklen_t length = sizeof error;
            if (error == 0) {
                ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
            }
        }
    }
    if (error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Connection>(descriptor, nullptr);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (m_stop != nullptr && *m_stop) {
            return false;
        }
        pollfd waits{m_descriptor, POLLOUT, 0};
        if (::poll(&waits, 1, StepMs) <= 0) {
            continue;
        }
        const ssize_t count = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN) {
            return false;
        }
        bytes.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    return true;
}

bool Connection::fill(std::int64_t until)
{
    constexpr std::size_t MaxRead = 16'384;
    char bytes[MaxRead];
    while (true) {
        if (m_stop != nullptr && *m_stop) {
            m_end = "stopped";
            return false;
        }
        if (nowMs() >= until) {
            m_end = "no more bytes in time";
            return false;
        }
        pollfd waits{m_descriptor, POLLIN, 0};
        if (::poll(&waits, 1, StepMs) <= 0) {
            continue;
        }
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_end = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
}

bool Connection::readLine(std::string &line, std::int64_t until)
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool Connection::readBytes(std::size_t count, std::string &bytes, std::int64_t until)
{
    while (m_buffer.size() < count) {
        if (!fill(until)) {
            return false;
        }
    }
    bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

std::optional<Headers> Connection::readHeaders(std::int64_t until)
{
    Headers headers;
    std::string line;
    while (true) {
        if (!readLine(line, until)) {
            return std::nullopt;
        }
        if (line.empty()) {
            return headers;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
}

std::optional<Request> Connection::readRequest()
{
    std::string line;
    if (!readLine(line, Forever)) {
        return std::nullopt;
    }
    Request request;
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return std::nullopt;
    }
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    const std::optional<Headers> headers = readHeaders(Forever);
    if (!headers) {
        return std::nullopt;
    }
    request.headers = *headers;
    const std::size_t length = std::strtoul(find(*headers, "Content-Length").value_or("0").c_str(), nullptr, 10);
    if (!readBytes(length, request.body, Forever)) {
        return std::nullopt;
    }
    return request;
}

Answer Connection::readAnswer(std::int64_t timeoutMs, const std::function<void(const std::string &)> &piece)
{
    const std::int64_t until = nowMs() + timeoutMs;
    Answer answer;
    const auto incomplete = [this, &answer] {
        answer.end = m_end;
        return answer;
    };
    const auto take = [&answer, &piece](const std::string &bytes) {
        answer.body += bytes;
        if (piece && !bytes.empty()) {
            piece(bytes);
        }
    };
    std::string line;
    if (!readLine(line, until)) {
        return incomplete();
    }
    const std::optional<Headers> headers = readHeaders(until);
    if (!headers) {
        return incomplete();
    }
    answer.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
    answer.headers = *headers;
    const std::optional<std::string> length = find(*headers, "Content-Length");
    std::string bytes;
    if (length) {
        if (!readBytes(std::strtoul(length->c_str(), nullptr, 10), bytes, until)) {
            take(m_buffer);
            return incomplete();
        }
        take(bytes);
    } else if (equalIgnoringCase(find(*headers, "Transfer-Encoding").value_or(""), "chunked")) {
        while (true) {
            if (!readLine(line, until)) {
                return incomplete();
            }
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            if (!readBytes(size, bytes, until) || !readLine(line, until)) {
                return incomplete();
            }
            if (size == 0) {
                break;
            }
            take(bytes);
        }
    } else {
        while (fill(until)) {
            take(std::exchange(m_buffer, {}));
        }
        if (m_end != "closed") {
            return incomplete();
        }
    }
    answer.complete = true;
    return answer;
}

bool Connection::closed() const
{
    char byte = 0;
    const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

void Connection::resetOnClose()
{
    const linger value{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

Server::Server(Handler handler, std::string address)
    : m_handler(std::move(handler))
    , m_address(std::move(address))
{
}

Server::~Server()
{
    crash();
}

void Server::start()
{
    constexpr int Backlog = 512;
    // A connection may be gone again by the time it is accepted.
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    setOption(listener, SOL_SOCKET, SO_REUSEADDR, 1);
    m_port = m_port == 0 ? freePort() : m_port;
    const sockaddr_in own = socketAddress(m_address, m_port);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0 || ::listen(listener, Backlog) != 0) {
        ::close(listener);
        throw std::runtime_error("cannot listen");
    }
    m_stop = false;
    m_acceptor = std::thread([this, listener] { accept(listener); });
}

void Server::crash()
{
    m_stop = true;
    {
        // The system ends the connections of a process one right after the other, in the order of their descriptors; each is reset here.
        const std::lock_guard lock(m_mutex);
        const sockaddr none{AF_UNSPEC, {}};
        for (const int descriptor : m_descriptors) {
            static_cast<void>(::connect(descriptor, &none, sizeof none));
        }
    }
    if (m_acceptor.joinable()) {
        m_acceptor.join();
    }
    while (m_open > 0) {
        sleepMs(1);
    }
}

std::uint16_t Server::port() const
{
    return m_port;
}

std::string Server::endpoint() const
{
    return m_address + ":" + std::to_string(m_port);
}

const std::atomic<bool> &Server::stopped() const
{
    return m_stop;
}

void Server::accept(int listener)
{
    while (!m_stop) {
        pollfd waits{listener, POLLIN, 0};
        if (::poll(&waits, 1, StepMs) <= 0) {
            continue;
        }
        const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            ++m_open;
            {
                const std::lock_guard lock(m_mutex);
                m_descriptors.insert(descriptor);
            }
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }
    ::close(listener);
}

void Server::serve(int descriptor)
{
    {
        Connection connection(descriptor, &m_stop);
        bool kept = true;
        while (kept && !m_stop) {
            const std::optional<Request> request = connection.readRequest();
            kept = request && m_handler(connection, *request);
        }
        if (m_stop) {
            connection.resetOnClose();
        }
        const std::lock_guard lock(m_mutex);
        m_descriptors.erase(descriptor);
    }
    --m_open;
}

std::uint16_t freePort()
{
    constexpr int FirstPort = 10'000;
    constexpr int PortCount = 20'000;
    static std::mutex mutex;
    static int next = static_cast<int>(std::random_device()() % PortCount); // Several cases may run beside each other.
    const std::lock_guard lock(mutex);
    while (true) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next);
        next = (next + 1) % PortCount;
        if (isFree(port, SOCK_STREAM) && isFree(port, SOCK_DGRAM)) {
            return port;
        }
    }
}

std::string answerText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string requestText(const std::string &method, const std::string &target, const Headers &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + (body.empty() && method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

}
