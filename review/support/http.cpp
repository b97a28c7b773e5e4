#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace rosemaryshift::review {

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

sockaddr_in socketAddress(const std::string &address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

/// Reads lines and bytes of one connection until a point in time.
class Reader
{
public:
    Reader(int connection, std::chrono::steady_clock::time_point end)
        : m_connection(connection)
        , m_end(end)
    {
    }

    std::optional<std::string> line()
    {
        while (true) {
            const std::size_t end = m_bytes.find('\n');
            if (end != std::string::npos) {
                const std::string text = trimmed(m_bytes.substr(0, end));
                m_bytes.erase(0, end + 1);
                return text;
            }
            if (!more()) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> bytes(std::size_t count)
    {
        while (m_bytes.size() < count) {
            if (!more()) {
                return std::nullopt;
            }
        }
        std::string result = m_bytes.substr(0, count);
        m_bytes.erase(0, count);
        return result;
    }

    std::optional<Fields> fields()
    {
        Fields result;
        while (true) {
            const std::optional<std::string> text = line();
            if (!text) {
                return std::nullopt;
            }
            if (text->empty()) {
                return result;
            }
            const std::size_t colon = text->find(':');
            if (colon != std::string::npos) {
                result[lowerCase(trimmed(text->substr(0, colon)))] = trimmed(text->substr(colon + 1));
            }
        }
    }

    /// Reads the body that belongs to @p fields into @p body, as far as it comes. Returns whether it is complete.
    bool body(const Fields &fields, std::string &body)
    {
        const auto length = fields.find("content-length");
        if (length != fields.end()) {
            body = bytes(static_cast<std::size_t>(std::strtoull(length->second.c_str(), nullptr, 10))).value_or("");
            return body.size() == std::strtoull(length->second.c_str(), nullptr, 10);
        }
        if (!fields.contains("transfer-encoding")) {
            return true;
        }
        while (true) {
            const std::optional<std::string> size = line();
            const std::size_t count = size ? static_cast<std::size_t>(std::strtoull(size->c_str(), nullptr, 16)) : 0;
            const std::optional<std::string> chunk = size ? bytes(count) : std::nullopt;
            if (!chunk || !line()) {
                return false;
            }
            if (count == 0) {
                return true;
            }
            body += *chunk;
        }
    }

private:
    bool more()
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_end - std::chrono::steady_clock::now()).count();
        pollfd descriptor{m_connection, POLLIN, 0};
        if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(std::min<long long>(left, 1'000'000))) <= 0) {
            return false;
        }
        std::array<char, 16384> buffer{};
        const ssize_t count = ::recv(m_connection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_bytes.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

    const int m_connection;
    const std::chrono::steady_clock::time_point m_end;
    std::string m_bytes;
};

bool sendAll(int connection, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string encoded(const Reply &reply)
{
    std::string text = "HTTP/1.1 " + std::to_string(reply.status) + " X\r\n";
    for (const auto &[name, value] : reply.fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body;
}

bool isFree(std::uint16_t port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int probe = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in any = socketAddress("0.0.0.0", port);
        const bool bound = ::bind(probe, reinterpret_cast<const sockaddr *>(&any), sizeof any) == 0;
        ::close(probe);
        if (!bound) {
            return false;
        }
    }
    return true;
}

}

std::string Received::path() const
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> Received::query(const std::string &key) const
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
    return std::nullopt;
}

std::string Received::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

Listener::Listener(const std::string &address, Handler handler)
    : m_address(address)
    , m_handler(std::move(handler))
    , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in bound = socketAddress(address, 0);
    socklen_t size = sizeof bound;
    if (::bind(m_socket, reinterpret_cast<const sockaddr *>(&bound), size) != 0 || ::listen(m_socket, 256) != 0
        || ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&bound), &size) != 0) {
        throw std::runtime_error("cannot listen on " + address);
    }
    m_port = ntohs(bound.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

Listener::~Listener()
{
    m_stopping = true;
    ::shutdown(m_socket, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_socket);
    std::unique_lock lock(m_mutex);
    for (const int connection : m_connections) {
        ::shutdown(connection, SHUT_RDWR);
    }
    m_changed.wait(lock, [this] { return m_connections.empty(); });
}

std::string Listener::endpoint() const
{
    return m_address + ":" + std::to_string(m_port);
}

void Listener::accept()
{
    while (!m_stopping) {
        const int connection = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.push_back(connection);
        std::thread([this, connection] { serve(connection); }).detach();
    }
}

void Listener::serve(int connection)
{
    const int enabled = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    Reader reader(connection, std::chrono::steady_clock::now() + std::chrono::minutes(10));
    while (!m_stopping) {
        Received request;
        const std::optional<std::string> line = reader.line();
        const std::size_t first = line ? line->find(' ') : std::string::npos;
        const std::optional<Fields> fields = first == std::string::npos ? std::nullopt : reader.fields();
        if (!fields || !reader.body(*fields, request.body)) {
            break;
        }
        request.method = line->substr(0, first);
        request.target = line->substr(first + 1, line->rfind(' ') - first - 1);
        request.fields = *fields;
        const Reply reply = m_handler(request);
        if (reply.sender) {
            reply.sender([this, connection](const std::string &bytes) { return !m_stopping && sendAll(connection, bytes); });
            break;
        }
        if (reply.closes || !sendAll(connection, encoded(reply))) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    ::close(connection);
    std::erase(m_connections, connection);
    m_changed.notify_all();
}

Answer call(const std::string &endpoint, const std::string &method, const std::string &target, const std::string &lines, const std::string &body, int timeoutMs)
{
    KeptConnection connection(endpoint);
    return connection.call(method, target, lines, body, timeoutMs);
}

KeptConnection::KeptConnection(std::string endpoint)
    : m_endpoint(std::move(endpoint))
{
}

KeptConnection::~KeptConnection()
{
    if (m_connection >= 0) {
        ::close(m_connection);
    }
}

int KeptConnection::requests() const
{
    return m_requests;
}

Answer KeptConnection::call(const std::string &method, const std::string &target, const std::string &lines, const std::string &body, int timeoutMs)
{
    Answer answer;
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    if (m_connection < 0) {
        m_requests = 0;
        const std::size_t colon = m_endpoint.rfind(':');
        const sockaddr_in address
            = socketAddress(m_endpoint.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(m_endpoint.c_str() + colon + 1, nullptr, 10)));
        m_connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (::connect(m_connection, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(m_connection);
            m_connection = -1;
            return answer;
        }
    }
    ++m_requests;
    const std::string request = method + " " + target + " HTTP/1.1\r\n" + lines + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (sendAll(m_connection, request)) {
        Reader reader(m_connection, end);
        const std::optional<std::string> line = reader.line();
        const std::optional<Fields> fields = line && line->size() > 12 ? reader.fields() : std::nullopt;
        if (fields) {
            answer.status = std::atoi(line->c_str() + 9);
            answer.fields = *fields;
            answer.complete = reader.body(*fields, answer.body);
        }
    }
    const auto connection = answer.fields.find("connection");
    if (!answer.complete || (connection != answer.fields.end() && lowerCase(connection->second) == "close")) {
        ::close(m_connection);
        m_connection = -1;
    }
    return answer;
}

std::uint16_t freePorts(int count)
{
    constexpr int FirstPort = 10'000;
    constexpr int Range = 20'000;
    int first = FirstPort + ::getpid() * 37 % Range;
    for (int tries = 0; tries < Range; ++tries, first = FirstPort + (first - FirstPort + count) % Range) {
        int free = 0;
        while (free < count && isFree(static_cast<std::uint16_t>(first + free))) {
            ++free;
        }
        if (free == count) {
            return static_cast<std::uint16_t>(first);
        }
    }
    throw std::runtime_error("no free ports");
}

}
