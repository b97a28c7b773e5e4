#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// Value of a header regardless of case; nothing when it is missing.
std::optional<std::string> find(const Headers &headers, std::string_view name);

/// A request as received by a server.
struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

/// An answer as received by a client.
struct Answer {
    int status = 0; ///< 0 when the connection ended without a head.
    Headers headers;
    std::string body;
    bool complete = false; ///< The body was received to its end.
    std::string end;       ///< How it ended if it is not complete.
};

/// Milliseconds of the steady clock since the start of the process. Thread-safe.
std::int64_t nowMs();
void sleepMs(std::int64_t time);

/// One TCP connection with blocking calls that end when @c stop is set or the time is over. Used by one thread.
class Connection
{
public:
    Connection(int descriptor, const std::atomic<bool> *stop);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to @p address; null when that fails within @p timeoutMs.
    static std::unique_ptr<Connection> open(const std::string &address, std::uint16_t port, std::int64_t timeoutMs);
    /// Sends all @p bytes. Returns false when the connection has ended.
    bool send(std::string_view bytes);
    /// Reads a request with its body; nothing when the connection ends before.
    std::optional<Request> readRequest();
    /// Reads an answer, and passes each piece of its body to @p piece as it comes.
    Answer readAnswer(std::int64_t timeoutMs, const std::function<void(const std::string &)> &piece = nullptr);
    /// Whether the other side has closed the connection, or reset it.
    [[nodiscard]] bool closed() const;
    /// Has the connection reset when it is closed, as that of a process that ends with unread bytes.
    void resetOnClose();

private:
    /// Reads more bytes into the buffer. Returns false at the end of the connection or of the time.
    bool fill(std::int64_t until);
    bool readLine(std::string &line, std::int64_t until);
    bool readBytes(std::size_t count, std::string &bytes, std::int64_t until);
    std::optional<Headers> readHeaders(std::int64_t until);

    int m_descriptor;
    const std::atomic<bool> *m_stop;
    std::string m_buffer;
    std::string m_end;
};

/// A TCP server with a thread for each connection. crash() ends it as the end of its process would.
class Server
{
public:
    /// Handles one request. Returns whether the connection is kept.
    using Handler = std::function<bool(Connection &, const Request &)>;

    explicit Server(Handler handler, std::string address = "127.0.0.1");
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Listens, at a free port the first time and at the same one later. The port is below those that the system gives to outgoing connections.
    void start();
    /// Closes the listening socket and resets all connections.
    void crash();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string endpoint() const;
    /// Set while the server is down; handlers that wait look at it.
    [[nodiscard]] const std::atomic<bool> &stopped() const;

private:
    void accept(int listener);
    void serve(int descriptor);

    const Handler m_handler;
    const std::string m_address;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stop = true;
    std::atomic<int> m_open = 0;
    std::mutex m_mutex;
    std::set<int> m_descriptors; ///< Of the open connections.
    std::thread m_acceptor;
};

/// A port that is free for TCP and UDP on all loopback addresses, below those that the system gives to outgoing connections.
std::uint16_t freePort();

/// A complete answer with a length.
std::string answerText(int status, const Headers &headers, const std::string &body);
/// The text of a request with a length.
std::string requestText(const std::string &method, const std::string &target, const Headers &headers, const std::string &body);

}
